/** Parameters of the decisions on which engine loads which model. */
export interface ResidencySettings {
  /**
   * Limits on concurrent loads from the weight store, for whatever reason, up to which copies are
   * loaded in advance: before the first request, and afterwards. The later limit is lower because a
   * load occupies an engine that may have the only copy of other models.
   */
  readonly maxCopyLoadsBeforeDemand: number;
  readonly maxCopyLoads: number;
  /** Limit on concurrent loads from the weight store, for whatever reason, up to which replicas are added. */
  readonly maxBusyLoads: number;
  /** Fraction of the load time that is added as cost for each model with its only copy on the engine. */
  readonly soleCopyCostRatio: number;
  /** Requests in flight, and arrivals per second, that one replica should serve. */
  readonly requestsPerReplica: number;
  readonly arrivalsPerReplica: number;
  /** Part of an engine's request limit up to which random arrivals hardly wait for their turn. */
  readonly limitUtilization: number;
  /** Arrivals per second from which a model should have a second replica. */
  readonly secondReplicaRate: number;
  /** Period over which the expected demand for an unloaded model counts as eviction cost, in ms. */
  readonly evictionHorizonMs: number;
  /** Expected time until the running requests of a replica end and it can be unloaded, in ms. */
  readonly expectedRunMs: number;
  /** Minimum time for which a loaded model is kept under contention, as a multiple of its reload time. */
  readonly minKeepRatio: number;
  /** Highest eviction cost for an added replica, for one in a severe shortage, and for a copy, in ms. */
  readonly maxBusyEvictionMs: number;
  readonly maxSevereEvictionMs: number;
  readonly maxCopyEvictionMs: number;
  /** Cost of an order per expected request per second at the engine, in ms. */
  readonly busyEngineCostMs: number;
  /** Expected time from a finished load to the first byte at the client, in ms. */
  readonly firstByteMs: number;
}

export const defaultResidencySettings: ResidencySettings = {
  maxCopyLoadsBeforeDemand: 4,
  maxCopyLoads: 1,
  maxBusyLoads: 2,
  soleCopyCostRatio: 0.05,
  requestsPerReplica: 6,
  arrivalsPerReplica: 2,
  limitUtilization: 0.6,
  secondReplicaRate: 0.5,
  evictionHorizonMs: 10_000,
  expectedRunMs: 1_000,
  minKeepRatio: 1,
  maxBusyEvictionMs: 1_500,
  maxSevereEvictionMs: 6_000,
  maxCopyEvictionMs: 1_500,
  busyEngineCostMs: 400,
  firstByteMs: 400,
};
