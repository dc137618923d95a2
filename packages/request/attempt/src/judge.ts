import { type Failure, FailureKind } from '@currantdrift/core';
import type { TargetResult } from './chooser';
import type { Reason } from './outcome';

/**
 * What a failure before running says about the endpoint. A refusal with a retry time is a sign of
 * overload; one without, for example "not loaded", says nothing about the endpoint's health.
 */
export const judgeRefusal = (failure: Failure): TargetResult => {
  if (failure.kind !== FailureKind.refused) return 'failed';
  return failure.retryAfterMs === undefined ? 'neutral' : 'overloaded';
};

/** What a call that may have run says, when it failed or was stopped for the reason `stopped`. */
export const judgeBroken = (stopped: Reason | undefined): TargetResult => {
  if (stopped === undefined) return 'failed';
  // No answer before the deadline: too slow for its load. Otherwise the caller has gone.
  return stopped.peer === 'self' ? 'overloaded' : 'neutral';
};
