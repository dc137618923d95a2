import type { BucketLimits, QuotaAllowances } from './allowances';
import type { QuotaDecision, QuotaHandover, QuotaQuestion, QuotaReturn } from './messages';
import { type HeldRole, QuotaRole } from './quota-roles';
import { type BucketGrant, QuotaBucket } from './quota-bucket';

/** Time for which a member may use tokens that it was granted ahead, in ms. */
export const leaseMs = 2_000;

/** Part of the bucket that is left for requests that have arrived when tokens are granted ahead. */
const minLevelShare = 0.5;

/** Stands for the members to which a former owner has granted tokens ahead; no host has this name. */
const formerOwner = '';

/** A role in which a member grants tokens, and since when. */
export interface GrantingRole extends HeldRole {
  readonly role: Exclude<QuotaRole, 'none'>;
}

/** Grants that may be given back; the others are older. */
const maxGrants = 1_000;

interface Held {
  readonly tokens: number;
  readonly until: number;
  /** Undefined if a former owner has granted the tokens. */
  readonly grant?: BucketGrant;
}

/** The tokens of one customer at a member that grants them. */
export class CustomerAccount {
  private readonly bucket: QuotaBucket;

  /** Tokens that members may hold for requests to come. */
  private readonly ahead = new Map<string, Held>();

  private readonly grants = new Map<number, BucketGrant>();

  /** Since when this member last had the role of the owner. */
  private ownerSince: number | undefined;

  private constructor(
    private allowances: QuotaAllowances,
    private held: GrantingRole,
    private nextGrant: number,
  ) {
    this.bucket = QuotaBucket.create(this.limits, held.since);
  }

  /**
   * An account whose bucket was empty when the role began. Grants are numbered from `firstGrant` on, so that
   * those of an earlier process are not taken for them.
   */
  static create(
    allowances: QuotaAllowances,
    held: GrantingRole,
    firstGrant: number,
  ): CustomerAccount {
    return new CustomerAccount(allowances, held, firstGrant);
  }

  private get isOwner(): boolean {
    return this.held.role === QuotaRole.owner;
  }

  private get limits(): BucketLimits {
    return this.isOwner ? this.allowances.owner : this.allowances.standIn;
  }

  /** Applies the quota and the role of the moment; what the bucket holds is kept up to the new capacity. */
  update(allowances: QuotaAllowances, held: GrantingRole, now: number): void {
    const isNewRole = held.role !== this.held.role || held.since !== this.held.since;
    const wasOwner = this.ownerSince !== undefined;
    if (held.role === QuotaRole.owner) {
      // Another member may have granted the quota since this one last did.
      if (wasOwner && held.since !== this.ownerSince) this.bucket.takeAll(now);
      this.ownerSince = held.since;
    }
    this.allowances = allowances;
    this.held = held;
    if (isNewRole) this.bucket.restart(this.limits, held.since);
    else this.bucket.limit(this.limits, now);
  }

  lease(question: QuotaQuestion, now: number): QuotaDecision {
    this.removeExpired(now);
    this.takeBackAhead(question, now);
    const grant = this.nextGrant;
    this.nextGrant += 1;
    const waits = this.takeCosts(question.costs, grant, now);
    const isGranted = waits.every((waitMs) => waitMs === 0);
    const ahead = isGranted && this.isOwner ? this.takeAhead(question, now) : 0;
    const waitsMs = waits.map((waitMs) => (Number.isFinite(waitMs) ? waitMs : null));
    return { kind: 'decided', role: this.held.role, grant, waitsMs, ahead };
  }

  /** Takes back the tokens of a request that was not sent; returns how many were accepted. */
  takeBack({ grant, tokens }: QuotaReturn, now: number): number {
    const granted = this.grants.get(grant);
    return granted === undefined ? 0 : this.bucket.refund(granted, tokens, now);
  }

  /** What the owner's successor goes on with; nothing remains here. */
  handOver(now: number): QuotaHandover {
    this.removeExpired(now);
    const handover = { tokens: this.bucket.takeAll(now), ahead: this.aheadOfAll() };
    this.ahead.clear();
    this.grants.clear();
    return handover;
  }

  /** Goes on with what the former owner held. */
  takeOver({ tokens, ahead }: QuotaHandover, now: number): void {
    this.bucket.add(tokens, now);
    this.ahead.set(formerOwner, { tokens: ahead, until: now + leaseMs });
  }

  /** Takes each cost for which there are tokens; returns the waits as in `QuotaDecision`. */
  private takeCosts(costs: readonly number[], grant: number, now: number): number[] {
    const { bucket, isOwner } = this;
    let refused = 0;
    let taken = 0;
    const waits = costs.map((cost) => {
      if (bucket.has(taken + cost, isOwner && taken === 0, now)) {
        taken += cost;
        return 0;
      }
      const waitMs = bucket.waitMs(cost, taken + refused, isOwner, now);
      refused += cost;
      return waitMs;
    });
    if (taken > 0) this.grants.set(grant, bucket.take(taken, now));
    this.grants.delete(grant - maxGrants);
    return waits;
  }

  private takeAhead({ member, ahead }: QuotaQuestion, now: number): number {
    const { maxAhead, owner } = this.allowances;
    const held = this.aheadOfAll();
    const spare = this.bucket.available(now) - minLevelShare * owner.capacity;
    const tokens = Math.min(ahead, maxAhead - held, spare);
    if (tokens <= 0) return 0;
    const grant = this.bucket.take(tokens, now);
    this.ahead.set(member, { tokens, until: now + leaseMs, grant });
    return tokens;
  }

  /** Takes back what the member has not used of its last lease, which this question replaces. */
  private takeBackAhead({ member, unused }: QuotaQuestion, now: number): void {
    const held = this.ahead.get(member);
    if (held === undefined) return;
    this.ahead.delete(member);
    if (held.grant !== undefined) this.bucket.refund(held.grant, unused, now);
  }

  private aheadOfAll(): number {
    return [...this.ahead.values()].reduce((sum, { tokens }) => sum + tokens, 0);
  }

  private removeExpired(now: number): void {
    this.ahead.forEach(({ until }, member) => {
      if (now >= until) this.ahead.delete(member);
    });
  }
}
