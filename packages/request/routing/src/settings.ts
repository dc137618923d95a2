/** Constants of the choice among replicas. */
export interface BalancerSettings {
  /** Bounds of the concurrency limit of an endpoint. The number of its slots bounds it as well. */
  readonly minLimit: number;
  readonly maxLimit: number;
  /** Lowest limit of an endpoint before anything is known of it. */
  readonly initialLimit: number;
  /**
   * Share of an endpoint's slots that is used before anything is known of it, 0 to 1; one over
   * the number of daemons that share the endpoint.
   */
  readonly initialSlotShare: () => number;
  /** Ratio of latency to its baseline up to which an endpoint counts as unloaded. */
  readonly latencyTolerance: number;
  /** Failures in a row that eject an endpoint. */
  readonly consecutiveFailures: number;
  /** Share of failures that ejects an endpoint, once `minSamples` were seen in `windowMs`. */
  readonly failureRate: number;
  readonly minSamples: number;
  readonly windowMs: number;
  /** Time of the first ejection, in ms; doubles with each further one up to `maxEjectionMs`. */
  readonly ejectionMs: number;
  readonly maxEjectionMs: number;
  /** Time over which an endpoint returns to its full limit after an ejection, in ms. */
  readonly rampMs: number;
  /** Largest share of a pool that is ejected at once. */
  readonly maxEjectedShare: number;
  /** Weight of the lagging level (0 to 1) against own in-flight per limit (0 to 1). */
  readonly levelWeight: number;
  /** Weight of a full prefix match, on the same scale. */
  readonly affinityWeight: number;
  /** Time without use after which what is known of an endpoint is dropped, in ms. */
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
  rampMs: 10_000,
  maxEjectedShare: 0.5,
  levelWeight: 0.25,
  affinityWeight: 0.2,
  idleMs: 3_600_000,
};
