import type { Clock } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import type { LimitedEndpoint } from './permit';
import type { RequestPermits } from './request-permits';

/** Why a call was not permitted. */
export interface PermitFailure {
  readonly message: string;
  /** Time after which a call may be permitted, in ms; undefined if unknown. */
  readonly retryAfterMs: number | undefined;
}

/** Waits until a call to the endpoint is permitted, or fails if that takes longer than `maxWaitMs`. */
export const awaitPermit = async (
  permits: RequestPermits,
  clock: Clock,
  endpoint: LimitedEndpoint,
  maxWaitMs: number,
  signal?: AbortSignal,
): Promise<Result<void, PermitFailure>> => {
  const permit = await permits.acquire([endpoint], maxWaitMs);
  if (permit.isErr()) {
    const { retryAfterMs } = permit.error;
    const message = `the endpoint limits its requests; the next call is free in ${Math.round(retryAfterMs)} ms`;
    return err({ message, retryAfterMs });
  }
  await clock.sleep(Math.max(0, permit.value.usableAt - clock.now()), signal);
  if (signal?.aborted) return err({ message: 'the caller gave up', retryAfterMs: undefined });
  return clock.now() <= permit.value.expiresAt
    ? ok()
    : err({ message: 'the permit for the call has expired', retryAfterMs: undefined });
};
