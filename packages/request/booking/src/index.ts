export {
  type Claim,
  claimLifeMs,
  ClaimState,
  dispatchWindowMs,
  goneAfterMs,
  maxKeptBodyBytes,
  type RecordedOutcome,
  unknownAfterMs,
} from './claim';
export * from './claim-ledger';
export type { GoneCheck, Standing } from './decide';
export { callDigest, keyHash } from './digest';
export * from './dispatch';
export type { DispatchTicket } from './dispatch-ticket';
export type { DispatchRefusal, Permit } from './permit';
export * from './run-booking';
