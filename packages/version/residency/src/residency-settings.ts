/** Constants of the decisions which models are loaded where. */
export interface ResidencySettings {
  /**
   * Loads from the weight store at once, all reasons, up to which copies are fetched ahead: before the
   * first request, and later. A load occupies an engine that may hold the only copy of other models.
   */
  readonly copyLoadsBeforeDemand: number;
  readonly copyLoadsAtOnce: number;
  /** Loads from the weight store at once, all reasons, up to which busy models get replicas. */
  readonly busyLoadsAtOnce: number;
  /** Part of a load's time that it costs for each model of which the engine has the only copy. */
  readonly soleCopyShare: number;
  /** Requests in flight, and arrivals in a second, that one replica should carry. */
  readonly requestsPerReplica: number;
  readonly arrivalsPerReplica: number;
  /** Arrivals in a second from which a model has a second replica. */
  readonly sparePerSecond: number;
  /** Time ahead for which the demand of an unloaded model is counted, in ms. */
  readonly evictionHorizonMs: number;
  /** Time that the runs of a replica in use are expected to take until it can be unloaded, in ms. */
  readonly runEndMs: number;
  /** Greatest cost of unloads for a further replica, in a severe shortage, and for a copy, in ms. */
  readonly busyEvictionMs: number;
  readonly severeEvictionMs: number;
  readonly copyEvictionMs: number;
  /** Cost of an order at an engine for each request that it expects in a second, in ms. */
  readonly busyEngineMs: number;
  /** Time from a finished load to the first byte that a client has, in ms. */
  readonly firstByteMs: number;
}

export const defaultResidencySettings: ResidencySettings = {
  copyLoadsBeforeDemand: 4,
  copyLoadsAtOnce: 1,
  busyLoadsAtOnce: 2,
  soleCopyShare: 0.05,
  requestsPerReplica: 6,
  arrivalsPerReplica: 2,
  sparePerSecond: 0.5,
  evictionHorizonMs: 10_000,
  runEndMs: 1_000,
  busyEvictionMs: 1_500,
  severeEvictionMs: 6_000,
  copyEvictionMs: 1_500,
  busyEngineMs: 400,
  firstByteMs: 400,
};
