export { HttpEndpoint } from './http-endpoint';
export { HttpEndpointConnector } from './http-endpoint-connector';
export { defaultEndpointSettings, type EndpointSettings } from './settings';
