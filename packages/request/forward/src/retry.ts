import { RequestKind, type Route } from '@currantdrift/routes';

/** How a send to an endpoint failed to yield an answer that can be relayed. */
export const SendFailure = {
  /** No byte of the request was sent, or the endpoint states that it did not run it. */
  notRun: 'notRun',
  /** The endpoint may have run the request; no byte of its answer was relayed. */
  unknown: 'unknown',
  /** The endpoint answered with an error after it may have run the request. */
  failed: 'failed',
  /** The stream broke after part of it was relayed. */
  broken: 'broken',
} as const;
export type SendFailure = (typeof SendFailure)[keyof typeof SendFailure];

/** Counts of a request's sends so far. */
export interface SendCounts {
  /** Sends after which the request may have run. */
  readonly runs: number;
  /** Sends that endpoints refused. */
  readonly refusals: number;
}

/** Whether a request may run more than once. */
export const isIdempotent = (route: Route): boolean =>
  route.kind === RequestKind.safe || (route.kind === RequestKind.stream && route.resumable);

/**
 * Whether a request may be sent again after a send that failed with `failure`; `counts` includes
 * that send. Handles endpoints that fail or refuse part of their requests: a request that has not
 * run may be sent again, one that may have run only if it is idempotent.
 */
export const isRetryAllowed = (
  route: Route,
  failure: SendFailure,
  counts: SendCounts,
  maxRefusals: number,
): boolean => {
  if (failure === SendFailure.notRun) {
    const ranBefore = counts.runs > 0;
    return counts.refusals < maxRefusals && (!ranBefore || isIdempotent(route));
  }
  if (failure === SendFailure.broken && !route.resumable) return false;
  return isIdempotent(route) && counts.runs < route.maxAttempts;
};
