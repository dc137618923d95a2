export * from './engine';
export * from './memory-store';
export * from './network';
export * from './store-handle';
export * from './virtual-clock';
