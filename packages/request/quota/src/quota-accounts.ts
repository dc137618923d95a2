import type { Random } from '@currantdrift/core';
import type { Quota } from '@currantdrift/routes';
import { allowancesOf, type QuotaBounds } from './allowances';
import { CustomerAccount, type GrantingRole } from './customer-account';
import type { QuotaDecision, QuotaHandover, QuotaQuestion, QuotaReturn } from './messages';
import { type HeldRole, QuotaRole } from './quota-roles';

/** Upper bound of the number of a process's first grant. */
const firstGrantBound = 2 ** 40;

/** The accounts of the customers for which a process grants tokens, as the owner or as a stand-in. */
export class QuotaAccounts {
  private readonly accounts = new Map<string, CustomerAccount>();

  private constructor(
    private readonly bounds: QuotaBounds,
    private readonly random: Random,
  ) {}

  static create(bounds: QuotaBounds, random: Random): QuotaAccounts {
    return new QuotaAccounts(bounds, random);
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
    return this.account(customer, quota, { role, since }, now).lease(question, now);
  }

  /** What the successor of this owner goes on with; nothing if no member has asked for the customer. */
  handOver(customer: string, now: number): QuotaHandover {
    return this.accounts.get(customer)?.handOver(now) ?? { tokens: 0, ahead: 0 };
  }

  /** Goes on as the owner from `now` with what the former one has handed over. */
  takeOver(customer: string, quota: Quota, handover: QuotaHandover, now: number): void {
    const held = { role: QuotaRole.owner, since: now };
    this.account(customer, quota, held, now).takeOver(handover, now);
  }

  /** Takes back the tokens of a request that was not sent; returns how many were accepted. */
  takeBack(customer: string, returned: QuotaReturn, now: number): number {
    return this.accounts.get(customer)?.takeBack(returned, now) ?? 0;
  }

  private account(
    customer: string,
    quota: Quota,
    held: GrantingRole,
    now: number,
  ): CustomerAccount {
    const allowances = allowancesOf(quota, this.bounds);
    const account =
      this.accounts.get(customer) ?? CustomerAccount.create(allowances, held, this.firstGrant());
    this.accounts.set(customer, account);
    account.update(allowances, held, now);
    return account;
  }

  private firstGrant(): number {
    return Math.floor(this.random.next() * firstGrantBound);
  }
}
