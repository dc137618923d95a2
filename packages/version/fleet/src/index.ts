export { EndpointDirectory } from './directory';
export type {
  EndpointRecord,
  EngineReport,
  LoadedModel as LoadedModel,
  ModelCopies,
} from './endpoint-record';
export type { Inventory } from './inventory';
