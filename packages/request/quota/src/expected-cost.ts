/** Time constant with which earlier requests lose weight, in ms. */
const decayMs = 1_000;

/** Recent requests below which a further one within the next second is not expected. */
const minRecentRequests = 2;

/** Estimates what a member's requests of one customer will cost within the next second. */
export class ExpectedCost {
  private requests = 0;

  private tokens = 0;

  private updatedAt = -Infinity;

  private constructor() {}

  static create(): ExpectedCost {
    return new ExpectedCost();
  }

  record(cost: number, now: number): void {
    this.decay(now);
    this.requests += 1;
    this.tokens += cost;
  }

  /** Expected cost, in tokens; 0 if requests are rare. */
  expected(now: number): number {
    this.decay(now);
    return this.requests >= minRecentRequests ? this.tokens : 0;
  }

  private decay(now: number): void {
    const factor = Math.exp(-Math.max(0, now - this.updatedAt) / decayMs);
    this.requests *= factor;
    this.tokens *= factor;
    this.updatedAt = now;
  }
}
