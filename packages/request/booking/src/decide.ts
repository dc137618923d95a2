import {
  type Bucket,
  bucketBytes,
  claimBytes,
  isExpired,
  maxClaimBytes,
  maxOutcomeBytes,
  withClaim,
} from './bucket';
import { type Claim, ClaimState, goneAfterMs, type RecordedOutcome, unknownAfterMs } from './claim';

/** Tells whether a daemon has left or died, as far as this one knows. */
export type GoneCheck = (dispatcher: string) => boolean;

/** Answer to a request whose key is claimed already. */
export type Standing =
  /** The booking has run; this is its recorded answer. */
  | { readonly kind: 'repeat'; readonly state: 'done'; readonly outcome: RecordedOutcome }
  /** The booking may have run, and nobody knows its outcome. */
  | { readonly kind: 'repeat'; readonly state: 'unknown' }
  /** 409: the booking is running. */
  | { readonly kind: 'conflict'; readonly reason: 'running'; readonly retryAfterMs: number }
  /** 422: the key was used with another body. */
  | { readonly kind: 'conflict'; readonly reason: 'other_body' };

/** Time after which a caller asks again for a running booking, in ms. */
const runningRetryMs = 1_000;

/** Decides a request for a key that another request has claimed. */
export const standingOf = (
  held: Claim,
  bodyDigest: string,
  now: number,
  isGone: GoneCheck,
): Standing => {
  if (held.bodyDigest !== bodyDigest) return { kind: 'conflict', reason: 'other_body' };
  if (held.state === ClaimState.done && held.outcome !== undefined) {
    return { kind: 'repeat', state: 'done', outcome: held.outcome };
  }
  const age = now - held.claimedAt;
  const lost =
    held.state !== ClaimState.claimed ||
    age >= unknownAfterMs ||
    (age >= goneAfterMs && isGone(held.dispatcher));
  return lost
    ? { kind: 'repeat', state: 'unknown' }
    : { kind: 'conflict', reason: 'running', retryAfterMs: runningRetryMs };
};

/** A change of a bucket with the answer that holds once the bucket is written. */
export interface Decision<T> {
  readonly bucket: Bucket;
  readonly answer: T;
}

export type ClaimDecision =
  | { readonly kind: 'granted' }
  | Standing
  | { readonly kind: 'full'; readonly retryAfterMs: number };

const oldestExpiryMs = (bucket: Bucket, now: number): number =>
  Math.max(0, Math.min(...[...bucket.values()].map(({ expiresAt }) => expiresAt)) - now);

/** Adds a claim to a bucket, unless the key is claimed or the bucket is full. */
export const addClaim = (
  bucket: Bucket,
  claim: Claim,
  now: number,
  isGone: GoneCheck,
): Decision<ClaimDecision> => {
  const held = bucket.get(claim.keyHash);
  if (held !== undefined && !isExpired(held, now)) {
    return held.nonce === claim.nonce
      ? { bucket, answer: { kind: 'granted' } }
      : { bucket, answer: standingOf(held, claim.bodyDigest, now, isGone) };
  }
  if (bucketBytes(bucket) + claimBytes(claim) > maxClaimBytes) {
    return { bucket, answer: { kind: 'full', retryAfterMs: oldestExpiryMs(bucket, now) } };
  }
  return {
    bucket: withClaim(bucket, claim),
    answer: { kind: 'granted' },
  };
};

const withoutBody = ({ status, contentType, bodyBytes, bodyDigest }: RecordedOutcome) => ({
  status,
  contentType,
  bodyBytes,
  bodyDigest,
});

/** Records the outcome of a claim; an undefined outcome is unknown. Recorded outcomes stay. */
export const recordOutcome = (
  bucket: Bucket,
  claim: Claim,
  outcome: RecordedOutcome | undefined,
): Bucket => {
  const held = bucket.get(claim.keyHash);
  if (held?.nonce !== claim.nonce || held.state === ClaimState.done) return bucket;
  if (outcome === undefined) {
    return held.state === ClaimState.unknown
      ? bucket
      : withClaim(bucket, { ...held, state: ClaimState.unknown });
  }
  const done: Claim = { ...held, state: ClaimState.done, outcome };
  const size = bucketBytes(bucket) - claimBytes(held) + claimBytes(done);
  const kept = size <= maxOutcomeBytes ? done : { ...done, outcome: withoutBody(outcome) };
  return withClaim(bucket, kept);
};

/** Removes a claim whose dispatch did not happen and will not happen. */
export const releaseClaim = (bucket: Bucket, claim: Claim): Bucket => {
  const held = bucket.get(claim.keyHash);
  if (held?.nonce !== claim.nonce || held.state === ClaimState.done) return bucket;
  return new Map([...bucket].filter(([hash]) => hash !== claim.keyHash));
};
