/** Ages and pauses by which what is known of the store stays within a bound, in ms. */
export interface FreshnessLimits {
  /** Time within which a change has to be in force. */
  readonly propagationLimitMs: number;
  /** Age that the knowledge of a process that reads the store itself reaches. */
  readonly watcherMaxAgeMs: number;
  /** Pause between two messages to the members that rely on this process. */
  readonly heartbeatMs: number;
  /** Ages from which a relay, and a member behind relays, reads the store itself. */
  readonly relayMaxAgeMs: number;
  readonly memberMaxAgeMs: number;
  /** Longest random pause before that, so that not all read at once. */
  readonly jitterMs: number;
}

/**
 * Parts of the bound. A relay's knowledge is `read` + `heartbeat` old at most, a member's one heartbeat
 * older; both with room for messages on their way. `member` + `jitter` leave a fifth of the bound for the
 * own call to the store.
 */
const shares = { read: 0.28, heartbeat: 0.14, relay: 0.5, member: 0.66, jitter: 0.12 } as const;

/** Limits that keep every process within `boundMs`, whichever of the others fail. */
export const freshnessLimits = (propagationLimitMs: number): FreshnessLimits => ({
  propagationLimitMs,
  watcherMaxAgeMs: Math.round(shares.read * propagationLimitMs),
  heartbeatMs: Math.round(shares.heartbeat * propagationLimitMs),
  relayMaxAgeMs: Math.round(shares.relay * propagationLimitMs),
  memberMaxAgeMs: Math.round(shares.member * propagationLimitMs),
  jitterMs: Math.round(shares.jitter * propagationLimitMs),
});
