import type { StreamPart } from '@currantdrift/core';

/** How the reader of a stream handles a received part. */
export type PartAction =
  | { readonly kind: 'deliver'; readonly tokens: readonly string[] }
  | { readonly kind: 'complete'; readonly finishReason: 'stop' | 'length' }
  | { readonly kind: 'drop'; readonly reason: 'other_request' | 'other_attempt' | 'duplicate' }
  | { readonly kind: 'broken'; readonly message: string };

/** Checks to apply. Disabled only in tests that show what a check prevents. */
export interface PartChecks {
  /** Compares the request id and the attempt number. */
  readonly identity: boolean;
  readonly offset: boolean;
}

export const allPartChecks: PartChecks = { identity: true, offset: true };

const drop = (reason: 'other_request' | 'other_attempt' | 'duplicate'): PartAction => ({
  kind: 'drop',
  reason,
});

/**
 * Checks a part received for attempt `attempt` of request `requestId` after `offset` tokens of the
 * answer were accepted.
 */
export const checkPart = (
  part: StreamPart,
  requestId: string,
  attempt: number,
  offset: number,
  checks: PartChecks = allPartChecks,
): PartAction => {
  if (checks.identity && part.requestId !== requestId) return drop('other_request');
  if (checks.identity && part.attempt !== attempt) return drop('other_attempt');
  if (checks.offset && part.offset > offset) {
    return { kind: 'broken', message: `expected offset ${offset}, got ${part.offset}` };
  }
  if (part.kind === 'end') {
    if (checks.offset && part.offset < offset) {
      return {
        kind: 'broken',
        message: `end marker at offset ${part.offset}, before offset ${offset}`,
      };
    }
    return { kind: 'complete', finishReason: part.finishReason };
  }
  if (!checks.offset || part.offset === offset) return { kind: 'deliver', tokens: part.tokens };
  const newTokens = part.tokens.slice(offset - part.offset);
  return newTokens.length > 0 ? { kind: 'deliver', tokens: newTokens } : drop('duplicate');
};
