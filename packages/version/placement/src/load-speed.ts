import type { CacheTier } from '@currantdrift/core';

/** Weight of the newest sample in the moving average. */
const newestWeight = 0.2;

/** Largest factor between a sample and the estimate; a paused process measures absurd durations. */
const maxFactor = 4;

/** Fixed time, in ms, that a load takes in addition to copying its bytes. */
const overheadMs = 200;

/** Estimates load times by cache tier from completed loads. */
export class LoadSpeed {
  private constructor(private readonly bytesPerMs: Record<CacheTier, number>) {}

  /** `first` holds the initial speeds, in bytes per ms. */
  static create(first: Readonly<Record<CacheTier, number>>): LoadSpeed {
    return new LoadSpeed({ ...first });
  }

  /** Expected duration of a load, in ms. */
  estimate(bytes: number, tier: CacheTier): number {
    return overheadMs + bytes / this.bytesPerMs[tier];
  }

  addSample(bytes: number, tier: CacheTier, ms: number): void {
    const known = this.bytesPerMs[tier];
    const measured = bytes / Math.max(1, ms - overheadMs);
    const speed = Math.min(known * maxFactor, Math.max(known / maxFactor, measured));
    // Averages the time per byte, since estimates are durations.
    const slowness = (1 - newestWeight) / known + newestWeight / speed;
    this.bytesPerMs[tier] = 1 / slowness;
  }
}
