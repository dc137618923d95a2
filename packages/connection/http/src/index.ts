export { ByteBudget, type HeldBytes } from './byte-budget';
export { type BodyRead, type BodyReadLimits, ClientBytes, type ClientMemory } from './client-bytes';
export { ConnectionGuard, type ConnectionLimits } from './connection-guard';
export type { Exchange, Head, Headers } from './exchange';
export { type HostLimits, type HostShares, sharesOf } from './host-limits';
export {
  type HttpCall,
  HttpClient,
  type OpenAnswer,
  type WholeAnswer,
  type WholeCall,
} from './http-client';
export { errorSchema, parseJson } from './json';
export type { HttpSettings } from './settings';
export { impliesNotRun } from './not-run-status';
export { reportResets } from './reset-detection';
export { ShedReport } from './shed-report';
export { beginUnmarked, endsWithConnection } from './unmarked-answer';
