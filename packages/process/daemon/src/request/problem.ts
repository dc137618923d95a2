import { type Refusal, RefusalCode } from '@currantdrift/node';

/** An error response to a caller. */
export interface Problem {
  readonly status: number;
  readonly code: string;
  readonly message: string;
  readonly outcome: 'not_run' | 'unknown';
  readonly retryAfterMs?: number;
}

const statusOfCode: Readonly<Record<RefusalCode, number>> = {
  [RefusalCode.noBundle]: 503,
  [RefusalCode.unknownItem]: 404,
  [RefusalCode.unknownService]: 404,
  [RefusalCode.idempotencyKeyRequired]: 400,
  [RefusalCode.keyReused]: 422,
  [RefusalCode.stillRunning]: 409,
  [RefusalCode.queueFull]: 429,
  [RefusalCode.deadlineTooShort]: 503,
  [RefusalCode.deadlinePassed]: 504,
  [RefusalCode.noCapacity]: 503,
  [RefusalCode.noEndpoint]: 503,
  [RefusalCode.storeUnavailable]: 503,
  [RefusalCode.interrupted]: 502,
  [RefusalCode.outcomeUnknown]: 502,
  [RefusalCode.stopping]: 503,
  [RefusalCode.memoryExhausted]: 503,
  [RefusalCode.promptHeldBack]: 503,
  [RefusalCode.requestHeldBack]: 503,
};

/** Converts a refusal to an error response. */
export const problemOf = (refusal: Refusal): Problem => ({
  status: statusOfCode[refusal.code],
  ...refusal,
});

/** Creates the error response for an invalid request, which did not run. */
export const badRequest = (status: number, code: string, message: string): Problem => ({
  status,
  code,
  message,
  outcome: 'not_run',
});

/** Returns the body of an error response. */
export const problemBody = (problem: Problem, requestId: string) => ({
  error: {
    code: problem.code,
    message: problem.message,
    outcome: problem.outcome,
    request_id: requestId,
    ...(problem.retryAfterMs === undefined ? {} : { retry_after_ms: problem.retryAfterMs }),
  },
});

/** Returns the headers of an error response; `Retry-After` is in whole seconds, rounded up. */
export const problemHeaders = (problem: Problem): Record<string, string> =>
  problem.retryAfterMs === undefined
    ? {}
    : { 'Retry-After': String(Math.ceil(problem.retryAfterMs / 1000)) };
