export { HttpHostList, type HttpHostListSettings } from './http-host-list';
export { HttpStore, type HttpStoreSettings } from './http-store';
