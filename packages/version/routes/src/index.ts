export * from './configuration';
export { RouteTable, selectService as selectService } from './route-table';
