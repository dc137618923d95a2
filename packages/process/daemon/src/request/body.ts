import type { Clock } from '@currantdrift/core';
import type { BodyRead, ClientBytes } from '@currantdrift/http';
import { err, ok, type Result } from 'neverthrow';
import { RefusalCode, stoppingRetryMs } from '@currantdrift/node';
import { badRequest, type Problem } from './problem';

export interface BodyLimits {
  readonly maxBytes: number;
  /** Time limit for receiving the complete body, in ms. */
  readonly timeoutMs: number;
}

const tooLarge = (limits: BodyLimits): Problem =>
  badRequest(413, 'body_too_large', `the body has more than ${limits.maxBytes} bytes`);

const tooSlow = (limits: BodyLimits): Problem =>
  badRequest(408, 'body_timeout', `the body did not arrive within ${limits.timeoutMs} ms`);

const stopping: Problem = {
  status: 503,
  code: RefusalCode.stopping,
  message: 'this daemon is stopping',
  outcome: 'not_run',
  retryAfterMs: stoppingRetryMs,
};

const exhausted: Problem = {
  status: 503,
  code: RefusalCode.memoryExhausted,
  message: 'the memory for requests is exhausted',
  outcome: 'not_run',
  retryAfterMs: stoppingRetryMs,
};

const incomplete = badRequest(400, 'body_incomplete', 'the connection closed within the body');

const problemFor = (kind: Exclude<BodyRead['kind'], 'complete'>, limits: BodyLimits): Problem => {
  switch (kind) {
    case 'too_large':
      return tooLarge(limits);
    case 'shed':
      return exhausted;
    case 'gone':
      return incomplete;
    default:
      return tooSlow(limits);
  }
};

/**
 * Reads a request's body, enforcing the limits on its size and time. Once `closing` aborts the request is
 * refused: it might be interrupted if it began so late.
 */
export const readBody = async (
  bytes: ClientBytes,
  limits: BodyLimits,
  clock: Clock,
  closing: AbortSignal,
): Promise<Result<Uint8Array, Problem>> => {
  if (!bytes.admit()) return err(exhausted);
  const done = new AbortController();
  const stopped = new AbortController();
  const stop = () => stopped.abort();
  clock.sleep(limits.timeoutMs, done.signal).then(stop, () => {});
  closing.addEventListener('abort', stop, { once: true, signal: done.signal });
  if (closing.aborted) stop();
  const { maxBytes, timeoutMs } = limits;
  const read = await bytes.readBody({ maxBytes, progressTimeoutMs: timeoutMs }, stopped.signal);
  done.abort();
  if (closing.aborted) return err(stopping);
  return read.kind === 'complete' ? ok(read.body) : err(problemFor(read.kind, limits));
};
