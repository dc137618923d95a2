/** Settings of the choice among replicas. */
export interface BalancerSettings {
  /** Bounds of an endpoint's concurrency limit, which its number of slots bounds as well. */
  readonly minLimit: number;
  readonly maxLimit: number;
  /** Lowest initial concurrency limit of an endpoint. */
  readonly initialLimit: number;
  /**
   * Share of an endpoint's slots, 0 to 1, that its initial concurrency limit covers; one over the
   * number of daemons that share the endpoint.
   */
  readonly initialSlotShare: () => number;
  /** Ratio of recent to baseline latency up to which an endpoint does not count as overloaded. */
  readonly latencyTolerance: number;
  /** Number of consecutive failures that eject an endpoint. */
  readonly consecutiveFailures: number;
  /**
   * Share of failures that ejects an endpoint, once `windowMs` has at least `minSamples` results.
   */
  readonly failureRate: number;
  readonly minSamples: number;
  readonly windowMs: number;
  /** Duration of the first ejection, in ms; doubles with each further one up to `maxEjectionMs`. */
  readonly ejectionMs: number;
  readonly maxEjectionMs: number;
  /** Time after an ejection in which one failure ejects the endpoint again, in ms. */
  readonly probationMs: number;
  /** Largest share of a pool that may be ejected at once. */
  readonly maxEjectedShare: number;
  /**
   * Weight of the reported level (0 to 1), which lags, relative to own in-flight / limit (0 to 1).
   */
  readonly levelWeight: number;
  /** Weight of a complete prefix match, on the same scale. */
  readonly affinityWeight: number;
  /** Idle time after which the state of an endpoint is discarded, in ms. */
  readonly idleMs: number;
}

export const defaultBalancerSettings: BalancerSettings = {
  minLimit: 1,
  maxLimit: 256,
  initialLimit: 8,
  initialSlotShare: () => 0,
  latencyTolerance: 2,
  consecutiveFailures: 5,
  failureRate: 0.5,
  minSamples: 10,
  windowMs: 10_000,
  ejectionMs: 5_000,
  maxEjectionMs: 300_000,
  probationMs: 10_000,
  maxEjectedShare: 0.5,
  levelWeight: 0.25,
  affinityWeight: 0.2,
  idleMs: 3_600_000,
};
