import type { BucketLimits } from './allowances';

const msPerSecond = 1_000;

/** A token bucket whose limits may change while it is in use. */
export class QuotaBucket {
  private constructor(
    private limits: BucketLimits,
    private level: number,
    private filledAt: number,
  ) {}

  /** A bucket that was empty at `since`, in ms; it may be later than the first use. */
  static create(limits: BucketLimits, since: number): QuotaBucket {
    return new QuotaBucket(limits, 0, since);
  }

  /** Applies new limits; what the bucket holds is kept up to the new capacity. */
  limit(limits: BucketLimits, now: number): void {
    this.fill(now);
    this.limits = limits;
    this.level = Math.min(this.level, limits.capacity);
  }

  /** Applies new limits from `since` on, in ms; nothing accumulates between the last use and then. */
  restart(limits: BucketLimits, since: number): void {
    this.limits = limits;
    this.level = Math.min(this.level, limits.capacity);
    this.filledAt = Math.max(this.filledAt, since);
  }

  /** Tokens in the bucket; negative after a request that cost more than its capacity. */
  available(now: number): number {
    this.fill(now);
    return this.level;
  }

  /** Takes the cost of a request; with `mayOwe`, one above the capacity from a full bucket. */
  take(cost: number, mayOwe: boolean, now: number): boolean {
    this.fill(now);
    if (this.level < this.required(cost, mayOwe)) return false;
    this.level -= cost;
    return true;
  }

  /** Takes as much of `amount` as there is; returns what was taken. */
  takeUpTo(amount: number, now: number): number {
    this.fill(now);
    const taken = Math.max(0, Math.min(amount, this.level));
    this.level -= taken;
    return taken;
  }

  /** Takes all that the bucket holds, or the debt that it has. */
  takeAll(now: number): number {
    this.fill(now);
    const taken = this.level;
    this.level = 0;
    return taken;
  }

  give(amount: number, now: number): void {
    this.fill(now);
    this.level = Math.min(this.limits.capacity, this.level + amount);
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
    const gained = ((now - this.filledAt) / msPerSecond) * this.limits.ratePerS;
    this.level = Math.min(this.limits.capacity, this.level + gained);
    this.filledAt = now;
  }
}
