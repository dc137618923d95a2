export {
  type Claim,
  claimLifetimeMs,
  ClaimState,
  clockSkewMs,
  dispatchWindowMs,
  unknownIfGoneAfterMs,
  maxKeptBodyBytes,
  type RecordedOutcome,
  unknownAfterMs,
} from './claim';
export * from './claim-ledger';
export type { GoneCheck, ExistingClaimResult } from './claim-decisions';
export { callDigest, keyHash } from './digest';
export * from './dispatch';
export type { DispatchTicket } from './dispatch-ticket';
export type { DispatchRefusal, Permit } from './permit';
export * from './run-booking';
export type { StoreRestores } from './store-restores';
