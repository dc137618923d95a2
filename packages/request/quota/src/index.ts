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
export { type HeldRole, QuotaRoles, rankMembers, QuotaRole } from './quota-roles';
export { QuotaBucket } from './quota-bucket';
export type { QuotaAnswer, QuotaIssuer } from './quota-issuer';
export { QuotaLeases } from './quota-leases';
export { type LeaseOptions } from './customer-lease';
export { QuotaAccounts } from './quota-accounts';
export type { QuotaGrant, QuotaRefusal, RequestQuotas } from './request-quotas';
