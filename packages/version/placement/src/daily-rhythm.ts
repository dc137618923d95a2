const slotMs = 1_800_000;

const slots = 48;

const dayMs = slots * slotMs;

/** Visits spread evenly over the day that are assumed before any was seen. */
const priorVisits = 48;

/** Weight that earlier visits keep when one is added; some weeks of a deployment's visits. */
const decay = 0.9998;

/**
 * How the rate of visits depends on the time of day, and a measure of time in which the rate is
 * constant. A day has the same length in both measures.
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

  /** Counts for a copy, one for each half hour of the day. */
  get copy(): readonly number[] {
    return this.counts.map((count) => Math.round(count * 10) / 10);
  }

  add(now: number): void {
    const slot = Math.floor((now % dayMs) / slotMs);
    this.counts = this.counts.map((count, index) => count * decay + (index === slot ? 1 : 0));
    this.sums = undefined;
  }

  /** Rate-weighted time, in ms, of a time in ms since the epoch. */
  weighted(time: number): number {
    const within = time % dayMs;
    const slot = Math.floor(within / slotMs);
    const sums = this.cumulative();
    const share = (within - slot * slotMs) / slotMs;
    return time - within + sums[slot] + share * (sums[slot + 1] - sums[slot]);
  }

  /** Time whose rate-weighted time is `weighted`. */
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
