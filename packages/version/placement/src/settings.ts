import type { CacheTier } from '@currantdrift/core';

/** Values of the controller that do not come from the bundle. */
export interface PlacementSettings {
  readonly leaseMs: number;
  readonly renewMs: number;
  /** Time between the drain mark and the report that must show no running request. */
  readonly drainMs: number;
  /** Time between two passes over keep-warm, bundle changes and standing intents. */
  readonly tickMs: number;
  /** Time after which an order without an answer is in doubt. */
  readonly orderTimeoutMs: number;
  readonly reportTimeoutMs: number;
  /** Age at which an engine's report is asked for again although its watcher saw no change. */
  readonly reportMaxAgeMs: number;
  /** First estimate of the load speed by tier, in bytes per ms; later speeds are measured. */
  readonly bytesPerMs: Readonly<Record<CacheTier, number>>;
  /** Loads from the weight store per second and at once, over all domains. */
  readonly loadsPerSecond: number;
  readonly loadsAtOnce: number;
  /** Adapter fetches in transit at full speed, over all domains. */
  readonly adapterTransits: number;
  /** Time that a loaded item is kept at least, so that those who woke it can use it. */
  readonly minWarmMs: number;
  /** Time that `stop` waits for orders under way. */
  readonly stopMs: number;
  /** Largest number of standing intents in the domain. */
  readonly standingIntents: number;
  /** Time between two copies of the keep-warm state into the record. */
  readonly keepWarmCopyMs: number;
  /**
   * Time after the end of an earlier holder's process during which bytes that it sent may still
   * arrive at an engine.
   */
  readonly transitMs: number;
}

export const defaultPlacementSettings: PlacementSettings = {
  leaseMs: 6_000,
  renewMs: 2_000,
  drainMs: 2_000,
  tickMs: 1_000,
  orderTimeoutMs: 120_000,
  reportTimeoutMs: 2_000,
  // Changes come with the watchers' states; at 358 engines this is about one report a second.
  reportMaxAgeMs: 300_000,
  // 20 GB/s, 4 GB/s and 1 GB/s.
  bytesPerMs: { memory: 20e6, disk: 4e6, remote: 1e6 },
  loadsPerSecond: 4,
  loadsAtOnce: 4,
  adapterTransits: 30,
  minWarmMs: 5_000,
  stopMs: 3_000,
  standingIntents: 256,
  keepWarmCopyMs: 300_000,
  transitMs: 10_000,
};
