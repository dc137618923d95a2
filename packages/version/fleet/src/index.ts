export { EndpointDirectory } from './endpoint-directory';
export type { EndpointRecord, EngineReport, LoadedModel, ModelCopies } from './endpoint-record';
export type { Inventory } from './inventory';
