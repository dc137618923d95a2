/** Most loads from the weight store that are ever under way at once. */
const maxAtOnce = 4;

/** Ratio of a load's time to its time at full speed from which it counts as slowed. */
const slowedRatio = 1.2;

/** Share of a new sample in the learnt number, and its growth after a load at full speed. */
const sampleShare = 0.5;
const growth = 0.5;

/**
 * Learns how many loads the weight store carries at once at full speed. Answers the load pattern
 * "loads take longer because many run": beyond that number each further one delays all others.
 */
export class AdaptiveLoadLimit {
  private learnt = maxAtOnce;

  private constructor() {}

  static create(): AdaptiveLoadLimit {
    return new AdaptiveLoadLimit();
  }

  /** Loads that may be under way at once. */
  get maxConcurrent(): number {
    return Math.max(1, Math.round(this.learnt));
  }

  /**
   * Takes a load that ended after `tookMs` while `underWay` loads ran, itself included; at full speed
   * it takes `fullSpeedMs`.
   */
  recordLoad(fullSpeedMs: number, tookMs: number, underWay: number): void {
    const ratio = tookMs / Math.max(1, fullSpeedMs);
    if (ratio >= slowedRatio) {
      const carried = underWay / ratio;
      this.learnt += (Math.max(1, carried) - this.learnt) * sampleShare;
    } else if (underWay >= this.maxConcurrent) {
      this.learnt = Math.min(maxAtOnce, this.learnt + growth);
    }
  }
}
