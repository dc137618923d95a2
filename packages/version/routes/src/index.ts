export * from './configuration';
export * from './customers';
export { RouteTable, selectService } from './route-table';
