import type { BucketLimits } from './allowances';

const msPerSecond = 1_000;

/** Time for which tokens may be given back, in ms. */
const historyMs = 15_000;

/** Grants that are kept for it. */
const maxHistory = 1_000;

/** Tokens that were taken at once and may be given back. */
export interface BucketGrant {
  readonly at: number;
  /** Tokens that have not been given back. */
  tokens: number;
}

/** A token bucket whose limits may change while it is in use. */
export class QuotaBucket {
  /** What the bucket held at `baseAt`, before the grants of the history. */
  private baseLevel: number;

  private baseAt: number;

  private history: BucketGrant[] = [];

  private constructor(
    private limits: BucketLimits,
    private level: number,
    private filledAt: number,
  ) {
    this.baseLevel = level;
    this.baseAt = filledAt;
  }

  /** A bucket that was empty at `since`, in ms; it may be later than the first use. */
  static create(limits: BucketLimits, since: number): QuotaBucket {
    return new QuotaBucket(limits, 0, since);
  }

  /** Applies new limits; what the bucket holds is kept up to the new capacity. */
  limit(limits: BucketLimits, now: number): void {
    const { ratePerS, capacity } = this.limits;
    if (limits.ratePerS === ratePerS && limits.capacity === capacity) return;
    this.fill(now);
    this.restart(limits, now);
  }

  /** Applies new limits from `since` on, in ms; nothing accumulates between the last use and then. */
  restart(limits: BucketLimits, since: number): void {
    this.limits = limits;
    this.filledAt = Math.max(this.filledAt, since);
    this.rebase(Math.min(this.level, limits.capacity));
  }

  /** Tokens in the bucket; negative after a request that cost more than its capacity. */
  available(now: number): number {
    this.fill(now);
    return this.level;
  }

  /** Whether a cost can be taken; with `mayOwe`, one above the capacity from a full bucket. */
  has(cost: number, mayOwe: boolean, now: number): boolean {
    return this.available(now) >= this.required(cost, mayOwe);
  }

  /** Takes tokens that the bucket `has`. */
  take(tokens: number, now: number): BucketGrant {
    this.fill(now);
    this.level -= tokens;
    const grant = { at: now, tokens };
    this.history.push(grant);
    while (this.history.length > maxHistory || now - this.history[0].at > historyMs) this.forget();
    return grant;
  }

  /**
   * Gives tokens of a grant back, as if they had never been taken; returns how many. What the bucket gained
   * since then counts only as far as it would have had room for it. So the tokens that are not given back
   * never exceed what the bucket grants without refunds.
   */
  refund(grant: BucketGrant, tokens: number, now: number): number {
    const refunded = grant;
    if (!this.history.includes(refunded)) return 0;
    const returned = Math.min(tokens, refunded.tokens);
    refunded.tokens -= returned;
    this.level = this.baseLevel;
    this.filledAt = this.baseAt;
    this.history.forEach((each) => {
      this.fill(each.at);
      this.level -= each.tokens;
    });
    this.fill(now);
    return returned;
  }

  /** Takes all that the bucket holds, or the debt that it has, for another bucket. */
  takeAll(now: number): number {
    const taken = this.available(now);
    this.rebase(0);
    return taken;
  }

  /** Adds what another bucket held. */
  add(tokens: number, now: number): void {
    this.fill(now);
    this.rebase(Math.min(this.limits.capacity, this.level + tokens));
  }

  /**
   * Time until `cost` can be taken after others of `before` tokens together, in ms; Infinity if that never
   * happens.
   */
  waitMs(cost: number, before: number, mayOwe: boolean, now: number): number {
    this.fill(now);
    const required = this.required(cost, mayOwe);
    if (required > this.limits.capacity) return Infinity;
    const missing = required + before - this.level;
    return missing <= 0 ? 0 : (missing / this.limits.ratePerS) * msPerSecond;
  }

  private required(cost: number, mayOwe: boolean): number {
    return mayOwe ? Math.min(cost, this.limits.capacity) : cost;
  }

  private fill(now: number): void {
    if (now <= this.filledAt) return;
    this.level = this.filled(this.level, now - this.filledAt);
    this.filledAt = now;
  }

  private filled(level: number, elapsedMs: number): number {
    const gained = (Math.max(0, elapsedMs) / msPerSecond) * this.limits.ratePerS;
    return Math.min(this.limits.capacity, level + gained);
  }

  /** Continues from a level; earlier grants cannot be given back any more. */
  private rebase(level: number): void {
    this.level = level;
    this.baseLevel = level;
    this.baseAt = this.filledAt;
    this.history = [];
  }

  /** Drops the oldest grant, which cannot be given back any more. */
  private forget(): void {
    const grant = this.history.shift();
    if (grant === undefined) return;
    this.baseLevel = this.filled(this.baseLevel, grant.at - this.baseAt) - grant.tokens;
    this.baseAt = Math.max(this.baseAt, grant.at);
  }
}
