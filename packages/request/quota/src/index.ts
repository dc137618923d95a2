export {
  allowancesOf,
  type BucketLimits,
  decisionTimeoutMs,
  type QuotaAllowances,
  type QuotaBounds,
} from './allowances';
export {
  type QuotaDecision,
  quotaDecisionSchema,
  type QuotaHandover,
  quotaHandoverSchema,
  type QuotaQuestion,
  quotaQuestionSchema,
  type QuotaReturn,
  quotaReturnSchema,
} from './messages';
export { type HeldRole, OwnerRanks, owners, QuotaRole } from './owner-ranks';
export { QuotaBucket } from './quota-bucket';
export type { QuotaAnswer, QuotaIssuer } from './quota-issuer';
export { QuotaLeases } from './quota-leases';
export { type LeaseOptions } from './customer-lease';
export { QuotaOwner } from './quota-owner';
export type { QuotaGrant, QuotaRefusal, RequestQuotas } from './request-quotas';
