import type { Telemetry } from '@currantdrift/core';
import type { QuotaGrant, QuotaRefusal, RequestQuotas } from '@currantdrift/quota';
import { type Customer, type Quota, QuotaUnit } from '@currantdrift/routes';
import { err, ok, type Result } from 'neverthrow';
import type { ClientRequest } from './client-request';
import type { RequestFields } from './endpoint-protocol';
import { logText } from './log-text';
import type { RetrySpread } from './retry-spread';

const httpStatus = { tooMany: 429, unavailable: 503 } as const;

/** Why a request does not run for now. */
export interface QuotaRejection {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs: number;
}

export interface QuotaAdmissionOptions {
  readonly telemetry: Telemetry;
  readonly quotas: RequestQuotas;
  readonly retrySpread: RetrySpread;
  /** Retry time if none is known, in ms. */
  readonly defaultRetryAfterMs: number;
}

/** Cost of a request in the unit of its customer's quota. */
export const costOf = (
  { unit, plainCost }: Quota,
  { promptTokens, maxNewTokens }: Pick<RequestFields, 'promptTokens' | 'maxNewTokens'>,
): number => (unit === QuotaUnit.requests ? 1 : promptTokens + maxNewTokens || plainCost);

/** Takes the cost of each request from its customer's quota. */
export class QuotaAdmission {
  private constructor(private readonly options: QuotaAdmissionOptions) {}

  static create(options: QuotaAdmissionOptions): QuotaAdmission {
    return new QuotaAdmission(options);
  }

  /** Resolves with undefined if the request has no customer, or its customer no quota. */
  async admit({
    fields,
    authorized: { customer },
  }: Pick<ClientRequest, 'fields' | 'authorized'>): Promise<
    Result<QuotaGrant | undefined, QuotaRejection>
  > {
    if (customer?.quota === undefined) return ok(undefined);
    const { name, quota } = customer;
    const cost = costOf(quota, fields);
    const taken = await this.options.quotas.take(name, quota, cost);
    if (taken.isErr()) return err(this.reject(fields.id, customer, cost, taken.error));
    this.count(name, 'used', cost);
    return ok(taken.value);
  }

  /** Gives back the tokens of a request that did not run. */
  refund(grant: QuotaGrant): void {
    this.count(grant.customer, 'refunded', grant.tokens);
    grant.refund();
  }

  private reject(
    id: string,
    { name }: Customer,
    cost: number,
    { kind, role, leaseAgeMs, retryAfterMs }: QuotaRefusal,
  ): QuotaRejection {
    const { telemetry, retrySpread, defaultRetryAfterMs } = this.options;
    this.count(name, 'refused', cost);
    const waitMs = kind === 'exceeded' ? retryAfterMs : undefined;
    const rejection = {
      ...QuotaAdmission.statusOf(kind),
      retryAfterMs: retrySpread.next(waitMs ?? defaultRetryAfterMs),
    };
    telemetry.log('quota', {
      id: logText(id),
      customer: name,
      cost,
      outcome: kind,
      role,
      leaseAgeMs: leaseAgeMs && Math.round(leaseAgeMs),
      waitMs: retryAfterMs && Math.round(retryAfterMs),
    });
    return rejection;
  }

  private static statusOf(kind: QuotaRefusal['kind']) {
    return kind === 'exceeded'
      ? { status: httpStatus.tooMany, reason: 'the quota of the customer is used up' }
      : {
          status: httpStatus.unavailable,
          reason: 'the quota of the customer cannot be checked at present',
        };
  }

  private count(customer: string, kind: string, tokens: number): void {
    this.options.telemetry.count('currantdrift_quota_tokens_total', { customer, kind }, tokens);
  }
}
