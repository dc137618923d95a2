export { Balancer, type BalancerOptions, type EndpointStatus, type RouteRequest } from './balancer';
export { type DomainCandidate, type DomainOption, orderDomains } from './domain-order';
export {
  type EndpointCapacity,
  EndpointRooms,
  type RoomNeed,
  type RoomHold,
  RoomState,
} from './endpoint-room';
export type { Lease, NoEndpoint, LeaseOutcome } from './lease';
export { PrefixIndex } from './prefix-index';
export { type BalancerSettings, defaultBalancerSettings } from './settings';
export type { Candidate, ReportedLoad } from './endpoint-stats';
export { PaceCause } from './endpoint-pace';
export type { EndpointStart } from './known-starts';
export type { PaceObserver } from './pace-log';
export {
  type EndpointLoad,
  type Reservation,
  type ReservationOutcome,
  PredictiveBalancer,
} from './predictive-balancer';
