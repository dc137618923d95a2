export * from './process/daemon';
export * from './process/main';
