export * from './estimates';
export * from './page';
export * from './target';
