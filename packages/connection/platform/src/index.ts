export { HttpHostList, type HttpHostListSettings, type MalformedHost } from './http-host-list';
export { HttpStore, type HttpStoreSettings } from './http-store';
