import type { IncomingMessage } from 'node:http';
import type { Clock } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
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

/** Reads a request's body, enforcing the limits on its size and time. */
export const readBody = async (
  incoming: IncomingMessage,
  limits: BodyLimits,
  clock: Clock,
): Promise<Result<Uint8Array, Problem>> => {
  if (Number(incoming.headers['content-length'] ?? 0) > limits.maxBytes) {
    return err(tooLarge(limits));
  }
  const timer = new AbortController();
  const timeout = clock.sleep(limits.timeoutMs, timer.signal).then(() => err(tooSlow(limits)));
  const body = await Promise.race([collect(incoming, limits), timeout]);
  timer.abort();
  return body;
};
