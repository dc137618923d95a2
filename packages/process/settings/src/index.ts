export * from './validation-issue';
export * from './read-settings';
export * from './settings';
