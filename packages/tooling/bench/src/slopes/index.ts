export * from './fit';
export * from './groups';
export * from './slope';
