/** Intervals, timeouts and counts of the membership protocol. */
export interface MembershipSettings {
  /** Time between two probes, in ms. */
  readonly probeIntervalMs: number;
  /** Timeout of a direct ack, in ms. */
  readonly ackTimeoutMs: number;
  /** Number of members asked to probe a target that did not ack. */
  readonly indirectProbes: number;
  /** Time for a suspect to refute before it is declared dead, in ms. */
  readonly suspicionTimeoutMs: number;
  /** Time between two digest comparisons, in ms. */
  readonly repairIntervalMs: number;
  /** Time between two attempts to reach dead members and unknown contacts, in ms. */
  readonly retryIntervalMs: number;
  /** Retention time of dead members and other tombstones, in ms. */
  readonly retentionMs: number;
}

export const defaultMembershipSettings: MembershipSettings = {
  probeIntervalMs: 1000,
  ackTimeoutMs: 300,
  indirectProbes: 2,
  suspicionTimeoutMs: 3000,
  repairIntervalMs: 30_000,
  retryIntervalMs: 10_000,
  retentionMs: 600_000,
};
