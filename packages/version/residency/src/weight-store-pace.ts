/** Upper bound of the limit on concurrent loads from the weight store. */
const maxLimit = 4;

/** Ratio of a load's duration to its duration at full speed from which it counts as slowed. */
const slowedRatio = 1.2;

/** Weight of a new sample in the estimate, and increase of the estimate after a load at full speed. */
const sampleWeight = 0.5;
const increment = 0.5;

/**
 * Estimates how many concurrent loads the weight store serves at full speed. Beyond that number, each
 * further load slows down all others.
 */
export class AdaptiveLoadLimit {
  private estimate = maxLimit;

  private constructor() {}

  static create(): AdaptiveLoadLimit {
    return new AdaptiveLoadLimit();
  }

  /** Maximum number of concurrent loads. */
  get maxConcurrent(): number {
    return Math.max(1, Math.round(this.estimate));
  }

  /**
   * Updates the estimate after a load that took `durationMs`, and would take `fullSpeedMs` at full
   * speed. `concurrentLoads` is the number of loads in progress, including this one.
   */
  recordLoad(fullSpeedMs: number, durationMs: number, concurrentLoads: number): void {
    const ratio = durationMs / Math.max(1, fullSpeedMs);
    if (ratio >= slowedRatio) {
      const servedLoads = concurrentLoads / ratio;
      this.estimate += (Math.max(1, servedLoads) - this.estimate) * sampleWeight;
    } else if (concurrentLoads >= this.maxConcurrent) {
      this.estimate = Math.min(maxLimit, this.estimate + increment);
    }
  }
}
