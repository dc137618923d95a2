import { type Caller } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { badRequest, type Problem } from './problem';

/** Time limits for callers' requests, in ms. */
export interface DeadlineLimits {
  readonly defaultDeadlineMs: number;
  readonly maxDeadlineMs: number;
}

const wholeNumber = /^\d{1,9}$/;

/** Converts `X-Request-Deadline-Ms`, relative to `now`, to a deadline in ms since the epoch. */
export const readDeadline = (
  header: string | undefined,
  limits: DeadlineLimits,
  now: number,
): Result<number, Problem> => {
  if (header === undefined) return ok(now + limits.defaultDeadlineMs);
  if (!wholeNumber.test(header) || Number(header) === 0) {
    const text = `X-Request-Deadline-Ms is ${JSON.stringify(header)}, expected milliseconds from now, above 0`;
    return err(badRequest(400, 'invalid_deadline', text));
  }
  return ok(now + Math.min(Number(header), limits.maxDeadlineMs));
};

/** Reads `X-Request-Priority`, 0 to 9, limited to the caller's maximum priority in the bundle. */
export const readPriority = (
  header: string | undefined,
  caller: Caller,
): Result<number, Problem> => {
  if (header === undefined) return ok(Math.min(5, caller.maxPriority));
  if (!/^\d$/.test(header)) {
    const text = `X-Request-Priority is ${JSON.stringify(header)}, expected 0 to 9`;
    return err(badRequest(400, 'invalid_priority', text));
  }
  return ok(Math.min(Number(header), caller.maxPriority));
};

const bearer = /^Bearer\s+(\S+)$/i;

/** Returns the token of an `Authorization: Bearer` header. */
export const readBearer = (header: string | undefined): string | undefined =>
  bearer.exec(header ?? '')?.[1];
