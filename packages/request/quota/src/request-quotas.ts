import type { Quota } from '@currantdrift/routes';
import type { Result } from 'neverthrow';
import type { QuotaRole } from './quota-roles';

/** Tokens that a request may use. */
export interface QuotaGrant {
  readonly customer: string;
  readonly tokens: number;
  /** Gives the tokens back, if the request was not sent. */
  readonly refund: () => void;
}

/** Why a request gets no tokens. */
export interface QuotaRefusal {
  /** `exceeded` if the quota is used up, `unreachable` if no member can tell. */
  readonly kind: 'exceeded' | 'unreachable';
  /** Time after which the request may get its tokens, in ms; undefined if not known. */
  readonly retryAfterMs: number | undefined;
  /** Role of the member that decided; undefined if none did. */
  readonly role: Exclude<QuotaRole, 'none'> | undefined;
  /** Age of the lease that this member still holds, in ms; undefined after a question, which gives it up. */
  readonly leaseAgeMs: number | undefined;
}

/** Tokens for requests of customers with quotas. */
export interface RequestQuotas {
  /** Takes the cost of a request, or decides that it exceeds the customer's quota. */
  take(customer: string, quota: Quota, cost: number): Promise<Result<QuotaGrant, QuotaRefusal>>;
}
