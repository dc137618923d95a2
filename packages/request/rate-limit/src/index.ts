export { awaitPermit, type PermitFailure } from './await-permit';
export { type IssuerClient, MemberPermits, type MemberPermitsOptions } from './member-permits';
export { MemberShare } from './member-share';
export { permitDecisionSchema } from './messages';
export type { LimitedEndpoint, Permit, PermitDecision, PermitRefusal } from './permit';
export { PermitIssuer } from './permit-issuer';
export { PermitSource, type RequestPermit, type RequestPermits } from './request-permits';
export { defaultRateLimitSettings, issuerStartMs, type RateLimitSettings } from './settings';
export { TermIssuer } from './term-issuer';
