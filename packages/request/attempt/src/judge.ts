import { type Failure, FailureKind } from '@currantdrift/core';
import type { TargetResult } from './chooser';

/**
 * What a failure before running says about the endpoint. A refusal with a retry time is a sign of
 * overload; one without, for example "not loaded", says nothing about the endpoint's health.
 */
export const judgeRefusal = (failure: Failure): TargetResult => {
  if (failure.kind !== FailureKind.refused) return 'failed';
  return failure.retryAfterMs === undefined ? 'neutral' : 'overloaded';
};
