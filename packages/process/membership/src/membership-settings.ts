/** Times and counts of the membership protocol. */
export interface MembershipSettings {
  /** Time between two probes, in ms. */
  readonly periodMs: number;
  /** Time for a direct ack, in ms. */
  readonly ackTimeoutMs: number;
  /** Members asked to probe a target that did not ack. */
  readonly indirectProbes: number;
  /** Time in which a suspect may refute, in ms. */
  readonly suspicionMs: number;
  /** Time between two digest comparisons, in ms. */
  readonly repairMs: number;
  /** Time between two tries of dead members and of unknown contacts, in ms. */
  readonly retryMs: number;
  /** Time after which dead members and removed endpoints are forgotten, in ms. */
  readonly forgetMs: number;
}

export const defaultMembershipSettings: MembershipSettings = {
  periodMs: 1000,
  ackTimeoutMs: 300,
  indirectProbes: 2,
  suspicionMs: 3000,
  repairMs: 30_000,
  retryMs: 10_000,
  forgetMs: 600_000,
};
