import type { Quota } from '@currantdrift/routes';
import type { Result } from 'neverthrow';
import { CustomerLease, type LeaseOptions } from './customer-lease';
import type { QuotaGrant, QuotaRefusal, RequestQuotas } from './request-quotas';

/** A member's tokens of all customers, obtained from their owners. */
export class QuotaLeases implements RequestQuotas {
  private readonly leases = new Map<string, CustomerLease>();

  private constructor(private readonly options: LeaseOptions) {}

  static create(options: LeaseOptions): QuotaLeases {
    return new QuotaLeases(options);
  }

  take(customer: string, quota: Quota, cost: number): Promise<Result<QuotaGrant, QuotaRefusal>> {
    const lease = this.leases.get(customer) ?? CustomerLease.create(customer, this.options);
    this.leases.set(customer, lease);
    return lease.take(quota, cost);
  }
}
