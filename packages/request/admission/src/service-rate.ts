/** Backlogged time, in ms, from which the measured rate is preferred over running / service time. */
const enoughBackloggedMs = 250;

/**
 * How fast a queue is served, from its own grants and completions. Only time with entries waiting
 * counts, because the rate of an idle queue says nothing about its capacity.
 */
export class ServiceRate {
  private grants = 0;

  private backloggedMs = 0;

  private backlogged = false;

  private updatedAt: number | undefined;

  private meanMs: number | undefined;

  private constructor(private readonly memoryMs: number) {}

  static create(memoryMs: number): ServiceRate {
    return new ServiceRate(memoryMs);
  }

  /** States that entries wait, or that none waits, from `now` on. */
  setBacklogged(backlogged: boolean, now: number): void {
    this.advance(now);
    this.backlogged = backlogged;
  }

  /** Counts a grant that was made while entries waited. */
  countGrant(now: number): void {
    this.advance(now);
    if (this.backlogged) this.grants += 1;
  }

  /** Takes the time from grant to answer of a request that was served. */
  observeService(serviceMs: number): void {
    this.meanMs = this.meanMs === undefined ? serviceMs : this.meanMs * 0.9 + serviceMs * 0.1;
  }

  /** Mean time from grant to answer in ms; undefined before the first answer. */
  get serviceMs(): number | undefined {
    return this.meanMs;
  }

  /** Milliseconds between grants under backlog; undefined while nothing is known. */
  intervalMs(running: number, now: number): number | undefined {
    this.advance(now);
    if (this.backloggedMs >= enoughBackloggedMs && this.grants > 0) {
      return this.backloggedMs / this.grants;
    }
    if (this.meanMs !== undefined && running > 0) return this.meanMs / running;
    return undefined;
  }

  private advance(now: number): void {
    const elapsed = Math.max(0, now - (this.updatedAt ?? now));
    this.updatedAt = now;
    // Idle time keeps what was learnt: capacity is not expected to change because nobody asks.
    if (elapsed === 0 || !this.backlogged) return;
    const keep = Math.exp(-elapsed / this.memoryMs);
    this.grants *= keep;
    this.backloggedMs = this.backloggedMs * keep + elapsed;
  }
}
