export * from './caller';
export * from './demo';
export * from './deployment';
export * from './platform-client';
