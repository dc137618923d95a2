/** A daemon's view of an opening endpoint that all daemons share. */
export interface FleetView {
  /** Requests in flight that the endpoint may have, over all daemons. */
  readonly limit: number;
  /** Own requests in flight. */
  readonly own: number;
  /** Requests in flight of the other daemons; undefined if no recent report is known. */
  readonly others: number | undefined;
  readonly daemons: number;
  /** Own requests per ms that would choose the endpoint. */
  readonly wantedPerMs: number;
  /** Time for which a request stays in flight, in ms. */
  readonly holdMs: number;
}

/** Time until a report shows a request: a fixed part, and one for each daemon that reports, in ms. */
const reportDelayMs = 500;
const reportDelayPerDaemonMs = 5;

/**
 * Probability with which a daemon may use an opening endpoint, such that the requests of all daemons
 * are expected to stay within its limit. The daemons need no message for it: each assumes that the
 * others want the endpoint as often as itself.
 *
 * The places that are free or become free are shared among the requests that arrive until the next
 * report shows them. If requests end sooner than that, or if no report is known, the limit is shared
 * among the requests that would be in flight if nothing held them back.
 */
export const chanceOfUse = (view: FleetView): number => {
  const { limit, own, others, daemons, wantedPerMs, holdMs } = view;
  if (own >= limit) return 0;
  if (daemons <= 1) return 1;
  const delayMs = reportDelayMs + reportDelayPerDaemonMs * daemons;
  const horizonMs = others === undefined ? holdMs : Math.min(holdMs, delayMs);
  const stayingShare = 1 - horizonMs / Math.max(1, holdMs);
  const free = limit - (own + (others ?? 0)) * stayingShare;
  const expected = daemons * wantedPerMs * horizonMs;
  return Math.max(0, Math.min(1, free / Math.max(1, expected)));
};
