import type { CacheTier } from '@currantdrift/core';

/** Controller settings that are not part of the bundle. */
export interface PlacementSettings {
  readonly leaseMs: number;
  readonly renewMs: number;
  /** Time from the start of a drain to the report that must show no running request. */
  readonly drainMs: number;
  /** Interval of the reconcile loop over keep-warm, bundle changes and standing intents. */
  readonly tickMs: number;
  /** Time after which an order without a response is in doubt. */
  readonly orderTimeoutMs: number;
  readonly reportTimeoutMs: number;
  /** Age at which an engine's report is fetched again although its watcher saw no change. */
  readonly reportMaxAgeMs: number;
  /** Initial estimate of the load speed by tier, in bytes per ms; updated from measured loads. */
  readonly bytesPerMs: Readonly<Record<CacheTier, number>>;
  /** Largest rate and number of concurrent loads from the weight store, over all domains. */
  readonly loadsPerSecond: number;
  readonly loadsAtOnce: number;
  /** Largest number of concurrent adapter fetches at full speed, over all domains. */
  readonly adapterTransits: number;
  /** Minimum time that a loaded item is kept, so that the requests that woke it can use it. */
  readonly minWarmMs: number;
  /** Time that `stop` waits for orders in flight. */
  readonly stopMs: number;
  /** Largest number of standing intents in the domain. */
  readonly standingIntents: number;
  /** Interval at which the keep-warm state is saved to the record. */
  readonly keepWarmCopyMs: number;
  /**
   * Time after the end of a former holder's process during which orders that it sent may still
   * reach an engine.
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
  // Watchers report changes sooner; at 358 engines this is about one report per second.
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
