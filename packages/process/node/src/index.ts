export * from './request/refusal';
export * from './request/request';
export * from './process/operations';
