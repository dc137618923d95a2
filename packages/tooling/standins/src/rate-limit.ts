/** A token bucket that holds one second of calls. */
export class RateLimit {
  private tokens: number;

  private constructor(
    private readonly perSecond: number,
    private readonly burst: number,
    private at: number,
  ) {
    this.tokens = burst;
  }

  /** `burst` is the number of calls that may come at once after a pause. */
  static create(perSecond: number, now: number, burst = perSecond): RateLimit {
    return new RateLimit(perSecond, burst, now);
  }

  /** Takes a token: 0, or the time in ms until there is one. */
  take(now: number): number {
    const gained = ((now - this.at) * this.perSecond) / 1000;
    this.tokens = Math.min(this.burst, this.tokens + gained);
    this.at = now;
    if (this.tokens < 1) return Math.ceil(((1 - this.tokens) * 1000) / this.perSecond);
    this.tokens -= 1;
    return 0;
  }
}
