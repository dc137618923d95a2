import type { Random } from '@currantdrift/core';
import type { Quota } from '@currantdrift/routes';
import { allowancesOf, type QuotaBounds } from './allowances';
import { CustomerAccount } from './customer-account';
import type { QuotaDecision, QuotaQuestion, QuotaReturn } from './messages';
import { type HeldRole, QuotaRole } from './owner-ranks';

/** Upper bound of the number of a process's first grant. */
const firstGrantBound = 2 ** 40;

/** The accounts of the customers for which a process grants tokens, as the owner or as a stand-in. */
export class QuotaOwner {
  private readonly accounts = new Map<string, CustomerAccount>();

  private constructor(
    private readonly bounds: QuotaBounds,
    private readonly random: Random,
  ) {}

  static create(bounds: QuotaBounds, random: Random): QuotaOwner {
    return new QuotaOwner(bounds, random);
  }

  /** Decides a member's question; undefined if this member has no role for the customer. */
  lease(
    customer: string,
    quota: Quota,
    question: QuotaQuestion,
    { role, since }: HeldRole,
    now: number,
  ): QuotaDecision | undefined {
    if (role === QuotaRole.none) return undefined;
    const allowances = allowancesOf(quota, this.bounds);
    const account =
      this.accounts.get(customer) ??
      CustomerAccount.create(allowances, { role, since }, this.firstGrant());
    this.accounts.set(customer, account);
    account.update(allowances, { role, since }, now);
    return account.lease(question, now);
  }

  /** Takes back the tokens of a request that was not sent; returns how many were accepted. */
  takeBack(customer: string, returned: QuotaReturn, now: number): number {
    return this.accounts.get(customer)?.takeBack(returned, now) ?? 0;
  }

  private firstGrant(): number {
    return Math.floor(this.random.next() * firstGrantBound);
  }
}
