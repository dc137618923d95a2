const slotMs = 1_800_000;

const slots = 48;

const dayMs = slots * slotMs;

/** Visits of the uniform prior, spread evenly over the day. */
const priorVisits = 48;

/** Decay of earlier visits for each new one; keeps some weeks of a deployment's visits. */
const decay = 0.9998;

/**
 * Estimates how the rate of visits depends on the time of day. Converts between wall time and
 * rate-weighted time, in which the rate is constant. A day has the same length in both.
 */
export class DailyRhythm {
  private counts: number[];

  private sums: readonly number[] | undefined;

  private constructor(counts: readonly number[]) {
    this.counts = [...counts];
  }

  static create(counts: readonly number[] = []): DailyRhythm {
    return new DailyRhythm(Array.from({ length: slots }, (_, slot) => counts[slot] ?? 0));
  }

  /** Rounded counts for a snapshot, one for each half hour of the day. */
  get copy(): readonly number[] {
    return this.counts.map((count) => Math.round(count * 10) / 10);
  }

  add(now: number): void {
    const slot = Math.floor((now % dayMs) / slotMs);
    this.counts = this.counts.map((count, index) => count * decay + (index === slot ? 1 : 0));
    this.sums = undefined;
  }

  /** Converts a time in ms since the Unix epoch to rate-weighted time, in ms. */
  weighted(time: number): number {
    const within = time % dayMs;
    const slot = Math.floor(within / slotMs);
    const sums = this.cumulative();
    const share = (within - slot * slotMs) / slotMs;
    return time - within + sums[slot] + share * (sums[slot + 1] - sums[slot]);
  }

  /** Converts rate-weighted time to ms since the Unix epoch; inverse of `weighted`. */
  time(weighted: number): number {
    const within = weighted % dayMs;
    const sums = this.cumulative();
    let slot = 0;
    while (slot < slots - 1 && sums[slot + 1] <= within) slot += 1;
    const share = (within - sums[slot]) / (sums[slot + 1] - sums[slot]);
    return weighted - within + (slot + share) * slotMs;
  }

  private cumulative(): readonly number[] {
    if (this.sums !== undefined) return this.sums;
    const smooth = this.counts.map(
      (count, slot) =>
        count / 2 +
        (this.counts[(slot + 1) % slots] + this.counts[(slot + slots - 1) % slots]) / 4 +
        priorVisits / slots,
    );
    const total = smooth.reduce((sum, count) => sum + count, 0);
    const sums = [0];
    smooth.forEach((count) => sums.push(sums[sums.length - 1] + (count / total) * dayMs));
    this.sums = sums;
    return sums;
  }
}
