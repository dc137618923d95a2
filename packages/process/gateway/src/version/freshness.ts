/** Age limits and intervals that bound how stale the cached store entries become, in ms. */
export interface FreshnessLimits {
  /** Time within which a change in the store must take effect in every process. */
  readonly propagationLimitMs: number;
  /** Highest age of the entries of a process that reads the store itself. */
  readonly watcherMaxAgeMs: number;
  /** Interval between messages to the members that get their entries from this process. */
  readonly heartbeatMs: number;
  /** Age at which a relay, or a member behind relays, reads the store itself. */
  readonly relayMaxAgeMs: number;
  readonly memberMaxAgeMs: number;
  /** Upper bound of the random delay before that read, so that members do not read at the same time. */
  readonly jitterMs: number;
}

/**
 * Shares of the propagation limit. The entries of a relay are at most `read` + `heartbeat` old, those of
 * a member one heartbeat older; `relay` and `member` leave room for message latency on top. `member` +
 * `jitter` leave a fifth of the limit for the process's own call to the store.
 */
const shares = { read: 0.28, heartbeat: 0.14, relay: 0.5, member: 0.66, jitter: 0.12 } as const;

/** Limits that keep every process within `propagationLimitMs`, whichever other processes fail. */
export const freshnessLimits = (propagationLimitMs: number): FreshnessLimits => ({
  propagationLimitMs,
  watcherMaxAgeMs: Math.round(shares.read * propagationLimitMs),
  heartbeatMs: Math.round(shares.heartbeat * propagationLimitMs),
  relayMaxAgeMs: Math.round(shares.relay * propagationLimitMs),
  memberMaxAgeMs: Math.round(shares.member * propagationLimitMs),
  jitterMs: Math.round(shares.jitter * propagationLimitMs),
});
