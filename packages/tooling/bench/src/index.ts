export * from './admission-cost';
export * from './capacity';
export * from './fleet';
export * from './process-usage';
export * from './relay';
export * from './slopes';
export * from './stream-load';
