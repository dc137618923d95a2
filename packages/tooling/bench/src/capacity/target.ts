/** Sizes that docs/design.md section 1.6 states or from which it follows. */
export const target = {
  daemons: 460,
  engines: 4300,
  domains: 12,
  daemonsPerDomain: 38,
  enginesPerDomain: 358,
  enginesPerDaemon: 358 / 38,
  models: 480,
  adapters: 26_000,
  hosts: 4760,
  requestsPerDaemon: 74,
  tokensPerDaemon: 30_400,
  /** Per second, in all domains together. */
  stateChanges: 0.8,
  /** Seconds between two bundles. */
  bundleSeconds: 35,
  /** Seconds that a bundle may take. */
  bundleLimitSeconds: 8,
  /** Host failures and restarts a day, each a leaving mark or removal and an addition. */
  hostListChangesPerDay: 2 * (76 + 620),
  /** Bytes/s of the link between regions. */
  linkBytes: 20e6 / 8,
} as const;

/** Limits for control per daemon, and for the store. */
export const limits = {
  cpuPercent: 4,
  memoryMb: 64,
  bytesPerSecond: 3000,
  storeWrites: 300,
  storeReads: 2000,
} as const;
