export * from './process-usage';
export * from './relay';
export * from './stream-load';
