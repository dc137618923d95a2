export { EndpointDirectory } from './endpoint-directory';
export { type EndpointInstance, EndpointLimits, type LimitReport } from './endpoint-limits';
export type { EndpointRecord, EngineReport, LoadedModel, ModelCopies } from './endpoint-record';
export type { Inventory } from './inventory';
export { LimitObserver, type LimitObserverOptions } from './limit-observer';
