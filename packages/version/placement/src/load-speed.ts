import type { CacheTier } from '@currantdrift/core';

/** Weight of the newest load in the estimate. */
const newestWeight = 0.2;

/** Largest change of speed that one load can show; a paused process measures absurd durations. */
const maxFactor = 4;

/** Time, in ms, that a load takes beside the copy of its bytes. */
const overheadMs = 200;

/** Load times by tier, learnt from the loads that were carried out. */
export class LoadSpeed {
  private constructor(private readonly bytesPerMs: Record<CacheTier, number>) {}

  /** `first` holds the speeds assumed before the first load, in bytes per ms. */
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
    // Averaged over durations, since estimates are durations.
    const slowness = (1 - newestWeight) / known + newestWeight / speed;
    this.bytesPerMs[tier] = 1 / slowness;
  }
}
