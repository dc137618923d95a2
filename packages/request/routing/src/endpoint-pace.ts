import type { BalancerSettings } from './settings';

/** Why the limit of an endpoint opens gradually. */
export const PaceCause = {
  /** The process started while this daemon was watching. */
  start: 'start',
  /** An ejection of the endpoint ended. */
  return: 'return',
  /** The endpoint was slow, as it reported itself. */
  recovery: 'recovery',
} as const;
export type PaceCause = (typeof PaceCause)[keyof typeof PaceCause];

/** An answer of the endpoint. */
export interface PaceSample {
  /** Time to the first byte, in ms. */
  readonly latencyMs: number;
  /** Requests in flight whose number the limit bounds, including the answered one. */
  readonly inFlight: number;
  /** Requests that the endpoint runs at once, 0 if unknown. */
  readonly slots: number;
  /** Estimated answers to all daemons for which this one stands; 1 if not stated. */
  readonly answers?: number;
}

type PaceSettings = Pick<BalancerSettings, 'minLimit' | 'maxLimit' | 'latencyTolerance'>;

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

/** Share of its full limit with which an endpoint opens; one that failed may well fail again. */
const openingShares: Readonly<Record<PaceCause, number>> = {
  [PaceCause.start]: 1 / 4,
  [PaceCause.return]: 1 / 8,
  [PaceCause.recovery]: 1 / 8,
};

/** Slow start of the limit: it ends when the limit has reached `target`. */
interface Opening {
  readonly cause: PaceCause;
  readonly target: number;
  readonly begunAt: number;
}

/**
 * Adaptive concurrency limit of one endpoint, derived from its answers.
 *
 * An endpoint that started, returned or recovered opens by slow start: each answer that arrives in
 * time raises the limit by one, so that it doubles while the endpoint answers what it was sent. No
 * time-out opens the limit, so an endpoint that does not answer stays at its share.
 *
 * Otherwise this is a gradient limit: the ratio of the baseline latency to the recent one scales the
 * limit, and the square root of the limit is added so that it can grow. Unlike AIMD with a fixed
 * threshold, it needs no target latency, which is not known for hundreds of models. Explicit
 * refusals for overload reduce the limit by a factor, as in AIMD. The baseline falls within
 * seconds but rises within minutes, so that a slow endpoint does not soon count as normal.
 */
export class EndpointPace {
  private recentMs: number | undefined;

  private baselineMs = 0;

  private observedAt = 0;

  private reducedAt = -Infinity;

  private adjustedAt = -Infinity;

  private opening: Opening | undefined;

  private constructor(
    private readonly settings: PaceSettings,
    private value: number,
  ) {}

  /** `initial` is the limit to begin with. */
  static create(settings: PaceSettings, initial: number): EndpointPace {
    return new EndpointPace(settings, Math.min(settings.maxLimit, initial));
  }

  /** Why the endpoint is opening; undefined if it has opened. */
  get cause(): PaceCause | undefined {
    return this.opening?.cause;
  }

  /** The limit before it is rounded to whole requests and bounded by slots. */
  get limit(): number {
    return this.value;
  }

  /** Number of requests that may be in flight; `slots` is as in `PaceSample`. */
  current(slots: number): number {
    const { minLimit } = this.settings;
    return Math.max(minLimit, Math.floor(Math.min(this.value, this.upperBound(slots))));
  }

  /**
   * Begins a slow start towards `target` requests in flight, from a share of them or from `carried`,
   * the number that the endpoint is known to carry.
   */
  open(openingCause: PaceCause, target: number, carried: number, now: number): void {
    const { minLimit, maxLimit } = this.settings;
    // An endpoint that fails while it opens still has its former target.
    const wanted = Math.max(target, this.opening?.target ?? 0);
    const full = Math.max(minLimit, Math.min(wanted, maxLimit));
    this.opening = { cause: openingCause, target: full, begunAt: now };
    this.value = Math.max(minLimit, full * openingShares[openingCause], carried);
    this.endOpening();
  }

  /** Records an answer. */
  observe({ latencyMs, inFlight, slots, answers = 1 }: PaceSample, now: number): void {
    const elapsed = Math.max(0, now - this.observedAt);
    this.observedAt = now;
    if (this.recentMs === undefined) {
      this.recentMs = latencyMs;
      this.baselineMs = latencyMs;
      this.growForAnswer(latencyMs, answers, now);
      return;
    }
    // The lower bound lets each of several samples that arrive together count.
    const weight = (timeMs: number) => 1 - Math.exp(-Math.max(elapsed, timeMs / 50) / timeMs);
    this.recentMs += (latencyMs - this.recentMs) * weight(recentTimeConstantMs);
    const baselineTimeConstantMs =
      this.recentMs < this.baselineMs ? baselineFallMs : baselineRiseMs;
    const share = 1 - Math.exp(-elapsed / baselineTimeConstantMs);
    this.baselineMs += (this.recentMs - this.baselineMs) * share;
    this.growForAnswer(latencyMs, answers, now);
    if (now - this.adjustedAt < Math.max(minAdjustmentIntervalMs, this.recentMs)) return;
    this.adjustedAt = now;
    this.adjust(inFlight, slots);
  }

  /**
   * Raises the limit of an opening endpoint by answers in time. One call at most doubles it, since the
   * number of answers to other daemons is an estimate.
   */
  grow(answers: number): void {
    if (this.opening === undefined) return;
    this.value = Math.min(this.opening.target, this.value + Math.min(answers, this.value));
    this.endOpening();
  }

  /** Records a refusal for overload. */
  reduceForOverload(now: number): void {
    if (now - this.reducedAt < minOverloadIntervalMs) return;
    this.reducedAt = now;
    this.value = Math.max(this.settings.minLimit, this.value * overloadFactor);
  }

  /** An answer to a request that was sent before the slow start says nothing about the endpoint now. */
  private growForAnswer(latencyMs: number, answers: number, now: number): void {
    if (this.opening === undefined || now - latencyMs < this.opening.begunAt) return;
    if (latencyMs <= this.settings.latencyTolerance * this.baselineMs) this.grow(answers);
  }

  private endOpening(): void {
    if (this.opening !== undefined && this.value >= this.opening.target) this.opening = undefined;
  }

  private adjust(inFlight: number, slots: number): void {
    const { latencyTolerance, minLimit } = this.settings;
    const ratio = (latencyTolerance * this.baselineMs) / Math.max(this.recentMs ?? 0, 0.001);
    const gradient = Math.min(1, Math.max(minGradient, ratio));
    // An opening endpoint rises by its answers alone.
    if (gradient === 1 && this.opening !== undefined) return;
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
