export * from './request/refusal';
export * from './request/request';
