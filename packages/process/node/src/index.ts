export * from './refusal';
export * from './request';
