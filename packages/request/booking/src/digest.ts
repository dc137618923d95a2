import { createHash } from 'node:crypto';
import type { ServiceCallRequest } from '@currantdrift/core';

const sha256 = (parts: readonly (string | Uint8Array)[]): string => {
  const hash = createHash('sha256');
  parts.forEach((part) => {
    // Length prefixes keep two different lists of parts from producing the same bytes.
    hash.update(`${part.length}:`);
    hash.update(part);
  });
  return hash.digest('base64url');
};

/** SHA-256 of a response body, in base64url. */
export const bodyDigest = (body: Uint8Array): string =>
  createHash('sha256').update(body).digest('base64url');

/** Hash that identifies an idempotency key. It includes the caller, so equal keys of two differ. */
export const keyHash = (caller: string, key: string): string => sha256([caller, key]);

/** Digest of the fields of a call that must be equal when the caller repeats it. */
export const callDigest = ({
  service,
  call,
  method,
  query,
  body,
}: Pick<ServiceCallRequest, 'service' | 'call' | 'method' | 'query' | 'body'>): string =>
  sha256([service, call, method, query, body]);
