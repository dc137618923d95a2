export * from './mistake';
export * from './read';
export * from './settings';
