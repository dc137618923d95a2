import type { StreamPart } from '@currantdrift/core';

/** What is to be done with a part of a stream. */
export type Verdict =
  | { readonly kind: 'deliver'; readonly tokens: readonly string[] }
  | { readonly kind: 'complete'; readonly finishReason: 'stop' | 'length' }
  | { readonly kind: 'drop'; readonly why: 'other_request' | 'other_attempt' | 'duplicate' }
  | { readonly kind: 'broken'; readonly message: string };

/** Which checks are made. Switched off only in tests that show what the check prevents. */
export interface PartChecks {
  /** Request id and attempt number. */
  readonly identity: boolean;
  readonly offset: boolean;
}

export const allPartChecks: PartChecks = { identity: true, offset: true };

const dropped = (why: 'other_request' | 'other_attempt' | 'duplicate'): Verdict => ({
  kind: 'drop',
  why,
});

/**
 * Judges a part of attempt `attempt` of request `requestId`, of whose answer `offset` tokens have
 * been accepted.
 */
export const checkPart = (
  part: StreamPart,
  requestId: string,
  attempt: number,
  offset: number,
  checks: PartChecks = allPartChecks,
): Verdict => {
  if (checks.identity && part.requestId !== requestId) return dropped('other_request');
  if (checks.identity && part.attempt !== attempt) return dropped('other_attempt');
  if (checks.offset && part.offset > offset) {
    return { kind: 'broken', message: `expected offset ${offset}, got ${part.offset}` };
  }
  if (part.kind === 'end') {
    if (checks.offset && part.offset < offset) {
      return { kind: 'broken', message: `the end at ${part.offset} is before offset ${offset}` };
    }
    return { kind: 'complete', finishReason: part.finishReason };
  }
  if (!checks.offset || part.offset === offset) return { kind: 'deliver', tokens: part.tokens };
  const fresh = part.tokens.slice(offset - part.offset);
  return fresh.length > 0 ? { kind: 'deliver', tokens: fresh } : dropped('duplicate');
};
