export * from './exit';
export * from './run';
