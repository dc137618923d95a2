import { rendezvousOrder } from '@currantdrift/core';

/** What a member may do for a customer. */
export const QuotaRole = {
  /** Grants the customer's quota. */
  owner: 'owner',
  /** Grants a small part of the quota while the owner cannot be reached. */
  standIn: 'standIn',
  none: 'none',
} as const;
export type QuotaRole = (typeof QuotaRole)[keyof typeof QuotaRole];

/** A role, and since when this member has had it, in ms. */
export interface HeldRole {
  readonly role: QuotaRole;
  readonly since: number;
}

/** Members in the order in which they are asked for a customer's quota. */
export const owners = (customer: string, members: readonly string[]): readonly string[] =>
  rendezvousOrder(`quota ${customer}`, members);

/**
 * How much longer a member has to be first before it acts as the owner than the list of members may be out
 * of date. Messages that confirm the list may have been in transit for the difference.
 */
const settleFactor = 1.25;

interface Rank {
  readonly order: readonly string[];
  readonly index: number;
  readonly since: number;
}

export interface OwnerRanksOptions {
  /** Host of this member. */
  readonly self: string;
  /** Age of the list of the members up to which it counts as current, in ms. */
  readonly maxViewAgeMs: number;
}

/**
 * Decides which role this member has for each customer. A member acts as the owner only while its list of
 * the members is current, and after it has been first for longer than any other member's list may be out of
 * date. So no two members act as the owner at the same time, even if they cannot reach each other.
 */
export class OwnerRanks {
  private members: readonly string[] = [];

  private changedAt = -Infinity;

  private readonly ranks = new Map<string, Rank>();

  private isCurrent = false;

  /** Since when the list has been current or out of date. */
  private currencySince = -Infinity;

  private constructor(private readonly options: OwnerRanksOptions) {}

  static create(options: OwnerRanksOptions): OwnerRanks {
    return new OwnerRanks(options);
  }

  /** Applies a change of the members. */
  update(members: readonly string[], now: number): void {
    this.members = members;
    this.changedAt = now;
    this.ranks.forEach(({ index, since }, customer) => {
      const rank = this.rankOf(customer, now);
      this.ranks.set(customer, rank.index === index ? { ...rank, since } : rank);
    });
  }

  /** Records the age of the list of the members; call this regularly and before each decision. */
  observe(viewAgeMs: number, now: number): void {
    const isCurrent = viewAgeMs <= this.options.maxViewAgeMs;
    if (isCurrent === this.isCurrent) return;
    this.isCurrent = isCurrent;
    this.currencySince = now;
  }

  /** Members in the order in which they are asked. */
  order(customer: string): readonly string[] {
    return this.find(customer).order;
  }

  role(customer: string, now: number): HeldRole {
    const { index, since } = this.find(customer);
    const heldSince = Math.max(since, this.currencySince);
    if (!this.isCurrent) {
      const role = index === 0 ? QuotaRole.standIn : QuotaRole.none;
      return { role, since: heldSince };
    }
    if (index === 1) return { role: QuotaRole.standIn, since };
    const settledAt = heldSince + settleFactor * this.options.maxViewAgeMs;
    const isOwner = index === 0 && now >= settledAt;
    return { role: isOwner ? QuotaRole.owner : QuotaRole.none, since: settledAt };
  }

  private find(customer: string): Rank {
    const known = this.ranks.get(customer);
    if (known !== undefined) return known;
    const rank = this.rankOf(customer, this.changedAt);
    this.ranks.set(customer, rank);
    return rank;
  }

  private rankOf(customer: string, since: number): Rank {
    const order = owners(customer, this.members);
    return { order, index: order.indexOf(this.options.self), since };
  }
}
