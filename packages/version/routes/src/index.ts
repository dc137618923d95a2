export * from './configuration';
export { RouteTable, selectService } from './route-table';
