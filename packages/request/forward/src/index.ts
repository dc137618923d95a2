export { AdmissionControl, type AdmissionControlOptions } from './admission-control';
export {
  Authorizer,
  type Authorized,
  type AuthorizationRefusal,
  type KnownConfiguration,
} from './authorizer';
export type { ClientRequest } from './client-request';
export type {
  EndpointProtocol,
  InvalidField,
  ForwardedIdentity,
  ForwardingFields,
  RequestFields,
} from './endpoint-protocol';
export type { ReportedLoad } from '@currantdrift/routing';
export type { NoEndpoint, SelectedEndpoint } from './endpoint-selection';
export { EndpointSignals, type EndpointSignalsOptions } from './endpoint-signals';
export { EventSplitter } from './event-splitter';
export type { ForwardContext } from './forward-context';
export { defaultForwardSettings, type ForwardSettings } from './forward-settings';
export { Forwarder } from './forwarder';
export {
  type InFlightCount,
  type ModelArrivals,
  ModelUsage,
  type UsageReport,
} from './model-usage';
export { QuotaAdmission } from './quota-admission';
export { RequestTimes, WaitPart } from './request-times';
export { isIdempotent, isRetryAllowed, type SendCounts, SendFailure } from './retry';
export { notQueued, type ReserveAttempt, type RoomLevel } from './reserve-attempt';
export { RetrySpread } from './retry-spread';
export type { BegunStream, StreamVersions } from './stream-versions';
export type { ModelLoadRequest, ModelWaker } from './waker';
