import type { BalancerSettings } from './settings';

/** Time constants of the averages, in ms. */
const recentTimeConstantMs = 1_000;
const baselineFallMs = 3_000;
const baselineRiseMs = 120_000;

/** Lowest factor that one adjustment may apply to the limit, before smoothing. */
const minGradient = 0.5;

/** Share of the difference to the target limit that one adjustment applies. */
const smoothing = 0.5;

/**
 * Shortest time between two adjustments, in ms. If the latency is longer, it is used instead,
 * because an adjustment affects only requests that start after it.
 */
const minAdjustmentIntervalMs = 50;

/** Factor by which overload reduces the limit, and the shortest time between reductions in ms. */
const overloadFactor = 0.7;
const minOverloadIntervalMs = 200;

/** Share of the limit that must be in use for the limit to rise. */
const minUsedShare = 0.5;

/**
 * Adaptive concurrency limit of one endpoint, derived from the latency of own requests.
 *
 * This is a gradient limit: the ratio of the baseline latency to the recent one scales the limit,
 * and the square root of the limit is added so that it can grow. Unlike AIMD with a fixed
 * threshold, it needs no target latency, which is not known for hundreds of models. Explicit
 * refusals for overload reduce the limit by a factor, as in AIMD. The baseline falls within
 * seconds but rises within minutes, so that a slow endpoint does not soon count as normal.
 */
export class ConcurrencyLimit {
  private value: number;

  private recentMs: number | undefined;

  private baselineMs = 0;

  private observedAt = 0;

  private reducedAt = -Infinity;

  private adjustedAt = -Infinity;

  private constructor(
    private readonly settings: BalancerSettings,
    slots: number,
  ) {
    const share = Math.floor(slots * settings.initialSlotShare());
    this.value = Math.min(settings.maxLimit, Math.max(settings.initialLimit, share));
  }

  /** `slots` is the number of requests that the endpoint runs at once, 0 if unknown. */
  static create(settings: BalancerSettings, slots = 0): ConcurrencyLimit {
    return new ConcurrencyLimit(settings, slots);
  }

  /** Number of requests that may be in flight; `slots` is as in `create`. */
  current(slots: number): number {
    const { minLimit } = this.settings;
    return Math.max(minLimit, Math.floor(Math.min(this.value, this.upperBound(slots))));
  }

  /** Records a request's latency in ms; `inFlight` counts the requests in flight, including it. */
  observe(latencyMs: number, inFlight: number, slots: number, now: number): void {
    const elapsed = Math.max(0, now - this.observedAt);
    this.observedAt = now;
    if (this.recentMs === undefined) {
      this.recentMs = latencyMs;
      this.baselineMs = latencyMs;
      return;
    }
    // The lower bound lets each of several samples that arrive together count.
    const weight = (timeMs: number) => 1 - Math.exp(-Math.max(elapsed, timeMs / 50) / timeMs);
    this.recentMs += (latencyMs - this.recentMs) * weight(recentTimeConstantMs);
    const baselineTimeConstantMs =
      this.recentMs < this.baselineMs ? baselineFallMs : baselineRiseMs;
    const share = 1 - Math.exp(-elapsed / baselineTimeConstantMs);
    this.baselineMs += (this.recentMs - this.baselineMs) * share;
    if (now - this.adjustedAt < Math.max(minAdjustmentIntervalMs, this.recentMs)) return;
    this.adjustedAt = now;
    this.adjust(inFlight, slots);
  }

  /** Records a refusal for overload. */
  reduceForOverload(now: number): void {
    if (now - this.reducedAt < minOverloadIntervalMs) return;
    this.reducedAt = now;
    this.value = Math.max(this.settings.minLimit, this.value * overloadFactor);
  }

  private adjust(inFlight: number, slots: number): void {
    const { latencyTolerance, minLimit } = this.settings;
    const ratio = (latencyTolerance * this.baselineMs) / Math.max(this.recentMs ?? 0, 0.001);
    const gradient = Math.min(1, Math.max(minGradient, ratio));
    // Latency measured well below the limit says nothing about the endpoint at the limit.
    if (gradient === 1 && inFlight < this.value * minUsedShare) return;
    const target = this.value * gradient + (gradient === 1 ? Math.sqrt(this.value) : 0);
    const next = this.value + (target - this.value) * smoothing;
    this.value = Math.min(this.upperBound(slots), Math.max(minLimit, next));
  }

  private upperBound(slots: number): number {
    const { minLimit, maxLimit } = this.settings;
    return Math.max(minLimit, slots > 0 ? Math.min(slots, maxLimit) : maxLimit);
  }
}
