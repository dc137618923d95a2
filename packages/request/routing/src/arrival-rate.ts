/** Time constant of the mean, in ms. */
const timeConstantMs = 10_000;

/** Shortest time to which events are related, in ms, so that the first ones do not look like a burst. */
const minObservedMs = 1_000;

/** Rate of events, as a mean that weighs earlier events less. */
export class ArrivalRate {
  private count = 0;

  private beganAt: number | undefined;

  private at = 0;

  private constructor() {}

  static create(): ArrivalRate {
    return new ArrivalRate();
  }

  record(now: number): void {
    this.beganAt ??= now;
    this.count = this.decayed(now) + 1;
    this.at = now;
  }

  /** Events per ms; 0 before the first one. */
  perMs(now: number): number {
    if (this.beganAt === undefined) return 0;
    const observedMs = Math.max(minObservedMs, now - this.beganAt);
    const weightMs = timeConstantMs * (1 - Math.exp(-observedMs / timeConstantMs));
    return this.decayed(now) / weightMs;
  }

  private decayed(now: number): number {
    return this.count * Math.exp(-(now - this.at) / timeConstantMs);
  }
}
