import type { BalancerSettings } from './settings';

/** Time constants of the averages, in ms. */
const recentMs = 1_000;
const baselineFallMs = 3_000;
const baselineRiseMs = 120_000;

/** Strongest reduction that one adjustment may ask for. */
const minGradient = 0.5;

/** Share of the step towards the new limit that one adjustment takes. */
const smoothing = 0.5;

/**
 * Shortest time between two adjustments, in ms. It is longer when the latency is, because the
 * effect of an adjustment shows only in requests that start after it.
 */
const adjustmentMs = 50;

/** Factor that a refusal for overload applies to the limit, and the time in which it acts once. */
const overloadFactor = 0.7;
const overloadPeriodMs = 200;

/** Share of the limit that must be in use before latency may raise it. */
const usedShare = 0.5;

/**
 * Adaptive concurrency limit of one endpoint, from own observed latency.
 *
 * A gradient limit: the ratio of the usual latency to the recent one scales the limit, and the
 * square root of the limit is added as room to grow. It needs no target latency, which nobody
 * knows for hundreds of models; AIMD on a fixed threshold would need one. Explicit refusals for
 * overload reduce the limit by a factor, as in AIMD. The usual latency falls within seconds and
 * rises within minutes, so that a slow endpoint does not soon count as normal.
 */
export class ConcurrencyLimit {
  private value: number;

  private recent: number | undefined;

  private baseline = 0;

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

  /** `slots` (0: unknown) is what the endpoint runs at once. */
  static create(settings: BalancerSettings, slots = 0): ConcurrencyLimit {
    return new ConcurrencyLimit(settings, slots);
  }

  /** Requests that may be in flight; `slots` (0: unknown) is what the endpoint runs at once. */
  current(slots: number): number {
    const { minLimit } = this.settings;
    return Math.max(minLimit, Math.floor(Math.min(this.value, this.upper(slots))));
  }

  /** Takes the latency of a request, in ms, that had `inFlight` requests beside it or itself. */
  observe(latencyMs: number, inFlight: number, slots: number, now: number): void {
    const elapsed = Math.max(0, now - this.observedAt);
    this.observedAt = now;
    if (this.recent === undefined) {
      this.recent = latencyMs;
      this.baseline = latencyMs;
      return;
    }
    // Samples that arrive together still count each, hence the lower bound of one step.
    const weight = (timeMs: number) => 1 - Math.exp(-Math.max(elapsed, timeMs / 50) / timeMs);
    this.recent += (latencyMs - this.recent) * weight(recentMs);
    const baselineMs = this.recent < this.baseline ? baselineFallMs : baselineRiseMs;
    const share = 1 - Math.exp(-elapsed / baselineMs);
    this.baseline += (this.recent - this.baseline) * share;
    if (now - this.adjustedAt < Math.max(adjustmentMs, this.recent)) return;
    this.adjustedAt = now;
    this.adjust(inFlight, slots);
  }

  /** Takes a refusal for overload. */
  overloaded(now: number): void {
    if (now - this.reducedAt < overloadPeriodMs) return;
    this.reducedAt = now;
    this.value = Math.max(this.settings.minLimit, this.value * overloadFactor);
  }

  private adjust(inFlight: number, slots: number): void {
    const { latencyTolerance, minLimit } = this.settings;
    const ratio = (latencyTolerance * this.baseline) / Math.max(this.recent ?? 0, 0.001);
    const gradient = Math.min(1, Math.max(minGradient, ratio));
    // A limit that is not used says nothing about the endpoint at that limit.
    if (gradient === 1 && inFlight < this.value * usedShare) return;
    const target = this.value * gradient + (gradient === 1 ? Math.sqrt(this.value) : 0);
    const next = this.value + (target - this.value) * smoothing;
    this.value = Math.min(this.upper(slots), Math.max(minLimit, next));
  }

  private upper(slots: number): number {
    const { minLimit, maxLimit } = this.settings;
    return Math.max(minLimit, slots > 0 ? Math.min(slots, maxLimit) : maxLimit);
  }
}
