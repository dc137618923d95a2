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
export const rankMembers = (customer: string, members: readonly string[]): readonly string[] =>
  rendezvousOrder(`quota ${customer}`, members);

/**
 * Times as multiples of A = `maxViewAgeMs`. A change of the members reaches each member whose list is
 * current within A.
 */
const factors = {
  /** Time for which a member must have been first before it grants without the former owner's consent. */
  settle: 2.5,
  /**
   * Age of the list up to which an owner remains the owner once its list is current again. Its successor
   * acts 2.5 A after the last confirmation at the earliest, and knows by then what the owner learnt by 1.5 A.
   */
  blind: 1.5,
  /**
   * Time after a member learnt that it is not first any more in which it may hand its role over. A third
   * member that does not know of the successor yet acts 1.5 A after that moment at the earliest.
   */
  release: 0.5,
} as const;

/** Former lists of the members that are kept. */
const maxLists = 16;

interface MemberList {
  readonly members: readonly string[];
  readonly since: number;
}

interface Rank {
  readonly order: readonly string[];
  readonly index: number;
  readonly since: number;
  /** When the owner handed the role over to this member. */
  readonly takenOverAt?: number;
  /** When this member learnt that it was the owner no more. */
  readonly ownedUntil?: number;
}

export interface OwnerRanksOptions {
  /** Host of this member. */
  readonly self: string;
  /** Age of the list of the members up to which it counts as current, in ms. */
  readonly maxViewAgeMs: number;
}

/**
 * Decides which role this member has for each customer. A member acts as the owner only while its list of
 * the members is current, and either the owner has handed the role over to it or it has been first for longer
 * than any other member's list may be out of date. So no two members act as the owner at the same time, even if
 * they cannot reach each other.
 */
export class QuotaRoles {
  /** Lists of the members, the current one last. */
  private readonly lists: MemberList[] = [];

  private readonly ranks = new Map<string, Rank>();

  private firstListAt: number | undefined;

  private isCurrent = false;

  /** Since when the list has been current or out of date. */
  private currencySince = -Infinity;

  /** Highest age of the list while it was out of date, in ms. */
  private blindMs = Infinity;

  /** When the list became current after it was out of date for too long. */
  private restartedAt = -Infinity;

  /** When the list first became current. */
  private firstCurrentAt: number | undefined;

  /** When this process took over the registration of an earlier one on its host. */
  private resumedAt: number | undefined;

  private constructor(private readonly options: OwnerRanksOptions) {}

  static create(options: OwnerRanksOptions): QuotaRoles {
    return new QuotaRoles(options);
  }

  /** Applies a change of the members. */
  update(members: readonly string[], now: number): void {
    this.firstListAt ??= now;
    this.lists.push({ members, since: now });
    if (this.lists.length > maxLists) this.lists.shift();
    this.ranks.forEach((before, customer) => {
      const rank = this.rankIn({ members, since: now }, customer);
      const isOwner = this.roleAt(before, now).role === QuotaRole.owner;
      const ownedUntil = isOwner && this.isSteady(now) ? now : before.ownedUntil;
      const { order, index } = rank;
      const isSame = index === before.index;
      this.ranks.set(customer, isSame ? { ...before, order, index } : { ...rank, ownedUntil });
    });
  }

  /**
   * Records that this process has replaced the registration of an earlier one on its host that had not
   * expired. No other member can have become first meanwhile, so this one
   * goes on in its roles, with empty buckets, once all current lists show what its own shows.
   */
  resume(now: number): void {
    this.resumedAt ??= now;
  }

  /** Records the age of the list of the members; call this regularly and before each decision. */
  observe(viewAgeMs: number, now: number): void {
    const { maxViewAgeMs } = this.options;
    const isCurrent = viewAgeMs <= maxViewAgeMs;
    if (!isCurrent) this.blindMs = Math.max(this.blindMs, viewAgeMs);
    if (isCurrent === this.isCurrent) return;
    this.isCurrent = isCurrent;
    this.currencySince = now;
    if (!isCurrent) return;
    this.firstCurrentAt ??= now;
    if (this.blindMs > factors.blind * maxViewAgeMs) this.restartedAt = now;
    this.blindMs = 0;
  }

  /** Members in the order in which they are asked. */
  order(customer: string): readonly string[] {
    return this.find(customer).order;
  }

  role(customer: string, now: number): HeldRole {
    return this.roleAt(this.find(customer), now);
  }

  /** Since when this member has been first without acting as the owner; undefined if it is not so. */
  waitingSince(customer: string, now: number): number | undefined {
    const { index, since } = this.find(customer);
    const isWaiting = this.isCurrent && index === 0;
    if (!isWaiting || this.role(customer, now).role === QuotaRole.owner) return undefined;
    return Math.max(since, this.restartedAt);
  }

  /** Makes this member the owner, to which the former one has handed the role over. */
  takeOver(customer: string, now: number): void {
    this.ranks.set(customer, { ...this.find(customer), takenOverAt: now });
  }

  /**
   * Ends this member's role as the owner; returns whether it may be handed over. No other member can have
   * become the owner on its own since this one was, until all lists of the members have changed.
   */
  release(customer: string, now: number): boolean {
    const rank = this.find(customer);
    const { ownedUntil = -Infinity } = rank;
    const isOwner = this.roleAt(rank, now).role === QuotaRole.owner;
    const releasableMs = factors.release * this.options.maxViewAgeMs;
    if (!isOwner && now - ownedUntil > releasableMs) return false;
    const { order, index, since } = rank;
    this.ranks.set(customer, { order, index, since: isOwner ? now : since });
    return true;
  }

  private roleAt({ index, since, takenOverAt = -Infinity }: Rank, now: number): HeldRole {
    const heldSince = Math.max(since, this.restartedAt);
    if (!this.isCurrent) {
      const role = index === 0 ? QuotaRole.standIn : QuotaRole.none;
      return { role, since: Math.max(since, this.currencySince) };
    }
    if (index === 1) return { role: QuotaRole.standIn, since };
    if (index === 0 && takenOverAt >= heldSince) {
      return { role: QuotaRole.owner, since: takenOverAt };
    }
    const { maxViewAgeMs } = this.options;
    const resumedAt = this.resumedIn(since);
    if (index === 0 && resumedAt !== undefined) {
      const resumableAt = Math.max(heldSince, resumedAt) + maxViewAgeMs;
      const role = now >= resumableAt ? QuotaRole.owner : QuotaRole.none;
      return { role, since: resumableAt };
    }
    const settledAt = heldSince + factors.settle * this.options.maxViewAgeMs;
    const isOwner = index === 0 && now >= settledAt;
    return { role: isOwner ? QuotaRole.owner : QuotaRole.none, since: settledAt };
  }

  /** When the process resumed a rank that it has had since its first list of the members. */
  private resumedIn(since: number): number | undefined {
    const isFirstList = since === this.firstListAt;
    return isFirstList && this.restartedAt === this.firstCurrentAt ? this.resumedAt : undefined;
  }

  /** Whether the list has been current for so long that a change in it is new, not one missed before. */
  private isSteady(now: number): boolean {
    return now - this.currencySince > factors.release * this.options.maxViewAgeMs;
  }

  private find(customer: string): Rank {
    const known = this.ranks.get(customer);
    if (known !== undefined) return known;
    const [current, ...former] = this.lists.map((list) => this.rankIn(list, customer)).reverse();
    if (current === undefined) return { order: [], index: -1, since: -Infinity };
    const changed = former.findIndex(({ index }) => index !== current.index);
    const same = changed < 0 ? former : former.slice(0, changed);
    const rank = { ...current, since: same.at(-1)?.since ?? current.since };
    this.ranks.set(customer, rank);
    return rank;
  }

  private rankIn({ members, since }: MemberList, customer: string): Rank {
    const order = rankMembers(customer, members);
    return { order, index: order.indexOf(this.options.self), since };
  }
}
