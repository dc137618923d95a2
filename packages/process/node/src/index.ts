export * from './request/refusal';
export * from './request/request';
export * from './process/operations';
export * from './process/node';
export * from './process/node-options';
