/** Backlogged time, in ms, from which the measured rate is preferred over running / service time. */
const enoughBackloggedMs = 250;

/** Grants from which the measured rate is preferred, if more do not run at once. */
const enoughGrantCount = 4;

/** Share of a new sample in the mean service time and its deviation. */
const sampleWeight = 0.05;

/** Mean deviations above the mean; covers 96% of exponential service times. */
const deviations = 3;

/**
 * How fast a queue is served, from its own grants and completions. Only time with entries waiting
 * counts, because the rate of an idle queue says nothing about its capacity.
 */
export class ServiceRate {
  private grants = 0;

  private backloggedMs = 0;

  /** Part of the backlogged time that has passed since the last grant. */
  private sinceGrantMs = 0;

  private backlogged = false;

  private updatedAt: number | undefined;

  private meanMs: number | undefined;

  private deviationMs = 0;

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
    if (!this.backlogged) return;
    this.grants += 1;
    this.sinceGrantMs = 0;
  }

  /** Takes the time from grant to answer of a request that was served. */
  observeService(serviceMs: number): void {
    if (this.meanMs === undefined) {
      this.meanMs = serviceMs;
      this.deviationMs = serviceMs / 2;
      return;
    }
    const error = serviceMs - this.meanMs;
    this.meanMs += error * sampleWeight;
    this.deviationMs += (Math.abs(error) - this.deviationMs) * sampleWeight;
  }

  /** Mean time from grant to answer in ms; undefined before the first answer. */
  get serviceMs(): number | undefined {
    return this.meanMs;
  }

  /** Time in ms within which nearly all answers are given; undefined before the first answer. */
  get safeServiceMs(): number | undefined {
    return this.meanMs === undefined ? undefined : this.meanMs + deviations * this.deviationMs;
  }

  /** Milliseconds between grants under backlog; undefined while nothing is known. */
  intervalMs(running: number, now: number): number | undefined {
    this.advance(now);
    // Requests that started together end together: fewer grants than that say nothing of the rate.
    const enoughGrants = this.grants >= Math.max(enoughGrantCount, running);
    if (this.backloggedMs >= enoughBackloggedMs && enoughGrants) {
      const complete = (this.backloggedMs - this.sinceGrantMs) / this.grants;
      // The interval in progress counts once it makes the estimate worse, as when service stalls.
      return Math.max(complete, this.backloggedMs / (this.grants + 1));
    }
    const { safeServiceMs } = this;
    if (this.meanMs === undefined || safeServiceMs === undefined || running === 0) return undefined;
    const expected = this.meanMs / running;
    return this.sinceGrantMs > safeServiceMs ? Math.max(expected, this.sinceGrantMs) : expected;
  }

  private advance(now: number): void {
    const elapsed = Math.max(0, now - (this.updatedAt ?? now));
    this.updatedAt = now;
    // Idle time keeps what was learnt: capacity is not expected to change because nobody asks.
    if (elapsed === 0 || !this.backlogged) return;
    const keep = Math.exp(-elapsed / this.memoryMs);
    this.grants *= keep;
    this.backloggedMs = this.backloggedMs * keep + elapsed;
    this.sinceGrantMs += elapsed;
  }
}
