export * from './memory-store';
export * from './store-handle';
export * from './virtual-clock';
