import { type Failure, FailureKind } from '@currantdrift/core';
import type { TargetResult } from './chooser';
import type { Reason } from './outcome';

/**
 * Health signal of an attempt that failed before it ran. A refusal with `retryAfterMs` indicates
 * overload; one without, for example "not loaded", says nothing about the endpoint's health.
 */
export const resultOfRefusal = (failure: Failure): TargetResult => {
  if (failure.kind !== FailureKind.refused) return 'failed';
  return failure.retryAfterMs === undefined ? 'neutral' : 'overloaded';
};

/** Health signal of a call that may have run and that failed, or was stopped for `stopReason`. */
export const resultOfFailure = (stopReason: Reason | undefined): TargetResult => {
  if (stopReason === undefined) return 'failed';
  // Peer `self` is the deadline: the endpoint was too slow. Otherwise the caller disconnected.
  return stopReason.peer === 'self' ? 'overloaded' : 'neutral';
};
