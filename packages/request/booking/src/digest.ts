import { createHash } from 'node:crypto';
import type { PlainCall } from '@currantdrift/core';

const sha256 = (parts: readonly (string | Uint8Array)[]): string => {
  const hash = createHash('sha256');
  parts.forEach((part) => {
    // Lengths keep two different lists of parts from having the same bytes.
    hash.update(`${part.length}:`);
    hash.update(part);
  });
  return hash.digest('base64url');
};

/** Digest of an answer's body, in base64url. */
export const bodyDigest = (body: Uint8Array): string =>
  createHash('sha256').update(body).digest('base64url');

/** Hash that an idempotency key is kept under; keys of different callers never meet. */
export const keyHash = (caller: string, key: string): string => sha256([caller, key]);

/** Digest of all that must be equal in a repeat of a call. */
export const callDigest = ({
  service,
  call,
  method,
  query,
  body,
}: Pick<PlainCall, 'service' | 'call' | 'method' | 'query' | 'body'>): string =>
  sha256([service, call, method, query, body]);
