export * from './caller';
export * from './demo';
export * from './deployment';
export * from './managed-process';
export * from './platform-client';
