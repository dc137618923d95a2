export type { EndpointProtocol, Envelope, RequestFields, StatedLoad } from './endpoint-protocol';
export { EndpointSigns, type EndpointSignsOptions } from './endpoint-signs';
export { EventSplitter } from './event-splitter';
export type { ForwardContext } from './forward-context';
export { defaultForwardSettings, type ForwardSettings } from './forward-settings';
export { Forwarder } from './forwarder';
export { type ModelFlight, ModelUsage, type ModelUse, type UsageReport } from './model-usage';
export { isIdempotent, maySendAgain, SendEnd, type Tries } from './retry';
export type { ModelWaker, ModelWant } from './waker';
