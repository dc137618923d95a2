export type {
  EndpointProtocol,
  ForwardingFields as ForwardingFields,
  RequestFields,
  ReportedLoad as ReportedLoad,
} from './endpoint-protocol';
export { EndpointSignals as EndpointSignals, type EndpointSignsOptions } from './endpoint-signs';
export { EventSplitter } from './event-splitter';
export type { ForwardContext } from './forward-context';
export { defaultForwardSettings, type ForwardSettings } from './forward-settings';
export { Forwarder } from './forwarder';
export { type ModelFlight, ModelUsage, type ModelUse, type UsageReport } from './model-usage';
export { isIdempotent, maySendAgain, SendEnd, type Tries } from './retry';
export type { ModelWaker, ModelLoadRequest as ModelLoadRequest } from './waker';
