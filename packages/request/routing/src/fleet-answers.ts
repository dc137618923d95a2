/** Time after the last fall of the load in which the endpoint counts as answering, in ms. */
const answeringMs = 3_000;

/** Longest time between two reports for which answers are estimated, in ms. */
const maxIntervalMs = 2_000;

/**
 * Estimates how many requests of all daemons one endpoint has answered, from reports of how many are
 * in flight there. A fall of their number shows answers. Others are hidden by new requests; their
 * number follows from the load and the time that a request takes, but counts only while falls are
 * seen, since the load of an endpoint that hangs stays high.
 */
export class FleetAnswers {
  private last: { readonly inFlight: number; readonly at: number } | undefined;

  private fellAt = -Infinity;

  private constructor() {}

  static create(): FleetAnswers {
    return new FleetAnswers();
  }

  /** Records a report; returns the answers since the one before. `holdMs` is undefined if unknown. */
  observe(inFlight: number, holdMs: number | undefined, now: number): number {
    const { last } = this;
    this.last = { inFlight, at: now };
    if (last === undefined) return 0;
    const fall = Math.max(0, last.inFlight - inFlight);
    if (fall > 0) this.fellAt = now;
    if (holdMs === undefined || now - this.fellAt >= answeringMs) return fall;
    const intervalMs = Math.min(maxIntervalMs, now - last.at);
    const expected = (last.inFlight * intervalMs) / Math.max(1, holdMs);
    return Math.max(fall, expected);
  }
}
