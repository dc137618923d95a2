/** Backlogged time from which the measured rate is preferred over running / service time, in ms. */
const minBackloggedMs = 250;

/** Grants from which the measured rate is preferred, unless more requests run at once. */
const minGrantCount = 4;

/** Weight of a new sample in the mean service time and its deviation. */
const sampleWeight = 0.05;

/** Margin in mean deviations above the mean; covers 96% of exponential service times. */
const marginDeviations = 3;

/**
 * Estimates how fast a queue is served from its own grants and completions. Only time with entries
 * waiting counts, because the rate of an idle queue says nothing about its capacity.
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

  private constructor(
    private readonly timeConstantMs: number,
    private readonly fromRunning: () => boolean,
  ) {}

  /** `fromRunning` is the setting `rateFromRunning` of the queue. */
  static create(timeConstantMs: number, fromRunning = () => true): ServiceRate {
    return new ServiceRate(timeConstantMs, fromRunning);
  }

  /** Sets whether entries wait from `now` on. */
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

  /** Adds a sample of the time from grant to answer of a served request. */
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
  get conservativeServiceMs(): number | undefined {
    return this.meanMs === undefined
      ? undefined
      : this.meanMs + marginDeviations * this.deviationMs;
  }

  /** Estimated time between grants under backlog, in ms; undefined without any samples. */
  intervalMs(running: number, now: number): number | undefined {
    this.advance(now);
    // Requests that start together end together: fewer grants than that say nothing of the rate.
    const enoughGrants = this.grants >= Math.max(minGrantCount, running);
    if (this.backloggedMs >= minBackloggedMs && enoughGrants) {
      const complete = (this.backloggedMs - this.sinceGrantMs) / this.grants;
      // The interval in progress counts once it raises the estimate, as when service stalls.
      return Math.max(complete, this.backloggedMs / (this.grants + 1));
    }
    if (!this.fromRunning()) return undefined;
    const { conservativeServiceMs } = this;
    if (this.meanMs === undefined || conservativeServiceMs === undefined || running === 0)
      return undefined;
    const expected = this.meanMs / running;
    return this.sinceGrantMs > conservativeServiceMs
      ? Math.max(expected, this.sinceGrantMs)
      : expected;
  }

  private advance(now: number): void {
    const elapsed = Math.max(0, now - (this.updatedAt ?? now));
    this.updatedAt = now;
    // Samples do not age during idle time, because capacity does not depend on demand.
    if (elapsed === 0 || !this.backlogged) return;
    const keep = Math.exp(-elapsed / this.timeConstantMs);
    this.grants *= keep;
    this.backloggedMs = this.backloggedMs * keep + elapsed;
    this.sinceGrantMs += elapsed;
  }
}
