import type { IncomingMessage } from 'node:http';
import type { Clock } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { RefusalCode } from '@currantdrift/node';
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

const collect = async (
  incoming: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<Uint8Array, Problem>> => {
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    // Destroying the request would close the connection before the error response is sent.
    for await (const chunk of incoming.iterator({ destroyOnReturn: false })) {
      length += (chunk as Buffer).length;
      if (length > limits.maxBytes) return err(tooLarge(limits));
      chunks.push(chunk as Buffer);
    }
  } catch {
    return err(badRequest(400, 'body_incomplete', 'the connection closed within the body'));
  }
  return ok(Buffer.concat(chunks));
};

/** Time after which a caller may try again, at another daemon, in ms. */
const stoppingRetryMs = 1_000;

const stopping: Problem = {
  status: 503,
  code: RefusalCode.stopping,
  message: 'this daemon is stopping',
  outcome: 'not_run',
  retryAfterMs: stoppingRetryMs,
};

/** Resolves when `signal` aborts. */
const aborted = (signal: AbortSignal, until: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    if (signal.aborted) resolve();
    signal.addEventListener('abort', () => resolve(), { once: true, signal: until });
  });

/**
 * Reads a request's body, enforcing the limits on its size and time. Once `closing` aborts the request is
 * refused: it might be interrupted if it began so late.
 */
export const readBody = async (
  incoming: IncomingMessage,
  limits: BodyLimits,
  clock: Clock,
  closing: AbortSignal,
): Promise<Result<Uint8Array, Problem>> => {
  if (Number(incoming.headers['content-length'] ?? 0) > limits.maxBytes) {
    return err(tooLarge(limits));
  }
  const done = new AbortController();
  const timeout = clock.sleep(limits.timeoutMs, done.signal).then(() => err(tooSlow(limits)));
  const stop = aborted(closing, done.signal).then(() => err(stopping));
  const body = await Promise.race([collect(incoming, limits), timeout, stop]);
  done.abort();
  return closing.aborted ? err(stopping) : body;
};
