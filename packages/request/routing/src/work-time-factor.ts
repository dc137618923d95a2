/** Time for which a report counts, in ms; the figure changes many times per second. */
const lifetimeMs = 500;

/** Bounds of what is believed of a report, as factors of the usual time. */
const minFactor = 0.5;
const maxFactor = 10;

/** Factor from which on an endpoint counts as slow. */
const slowFactor = 2;

/** Time that work takes at an endpoint, relative to the usual time, as last reported. */
export class WorkTimeFactor {
  private value = 1;

  private at = -Infinity;

  private constructor() {}

  static create(): WorkTimeFactor {
    return new WorkTimeFactor();
  }

  /** `percent` is 100 if work takes its usual time. */
  observe(percent: number, now: number): void {
    this.value = Math.min(maxFactor, Math.max(minFactor, percent / 100));
    this.at = now;
  }

  /** Factor to apply to times of the endpoint; 1 if no recent report is known. */
  factor(now: number): number {
    return now - this.at < lifetimeMs ? this.value : 1;
  }

  isSlow(now: number): boolean {
    return this.factor(now) >= slowFactor;
  }
}
