import {
  type Bucket,
  bucketBytes,
  claimBytes,
  isExpired,
  maxBucketBytesForClaims,
  maxBucketBytesForBodies,
  withClaim,
} from './bucket';
import {
  type Claim,
  ClaimState,
  unknownIfGoneAfterMs,
  type RecordedOutcome,
  unknownAfterMs,
} from './claim';

/** Reports whether a daemon has left or died, as far as this daemon knows. */
export type GoneCheck = (dispatcher: string) => boolean;

/** Result of a request whose key is already claimed. */
export type ExistingClaimResult =
  /** The booking has run; `outcome` is its recorded response. */
  | { readonly kind: 'repeat'; readonly state: 'done'; readonly outcome: RecordedOutcome }
  /** The booking may have run; its outcome is unknown. */
  | { readonly kind: 'repeat'; readonly state: 'unknown' }
  /** Reported as 409: the booking is still running. */
  | { readonly kind: 'conflict'; readonly reason: 'running'; readonly retryAfterMs: number }
  /** Reported as 422: the key was used with a different call or body. */
  | { readonly kind: 'conflict'; readonly reason: 'other_body' };

/** `retryAfterMs` for a booking that is still running. */
const runningRetryMs = 1_000;

/** Determines the result of a request whose key another request has claimed. */
export const existingClaimResult = (
  existing: Claim,
  bodyDigest: string,
  now: number,
  isGone: GoneCheck,
): ExistingClaimResult => {
  if (existing.bodyDigest !== bodyDigest) return { kind: 'conflict', reason: 'other_body' };
  if (existing.state === ClaimState.done && existing.outcome !== undefined) {
    return { kind: 'repeat', state: 'done', outcome: existing.outcome };
  }
  const age = now - existing.claimedAt;
  const isUnknown =
    existing.state !== ClaimState.claimed ||
    age >= unknownAfterMs ||
    (age >= unknownIfGoneAfterMs && isGone(existing.dispatcher));
  return isUnknown
    ? { kind: 'repeat', state: 'unknown' }
    : { kind: 'conflict', reason: 'running', retryAfterMs: runningRetryMs };
};

/** A changed bucket, and the answer that is valid once the bucket is written. */
export interface Decision<T> {
  readonly bucket: Bucket;
  readonly answer: T;
}

export type ClaimDecision =
  | { readonly kind: 'granted' }
  | ExistingClaimResult
  | { readonly kind: 'full'; readonly retryAfterMs: number };

const nextExpiryInMs = (bucket: Bucket, now: number): number =>
  Math.max(0, Math.min(...[...bucket.values()].map(({ expiresAt }) => expiresAt)) - now);

/** Adds a claim to a bucket, unless the key is claimed or the bucket is full. */
export const addClaim = (
  bucket: Bucket,
  claim: Claim,
  now: number,
  isGone: GoneCheck,
): Decision<ClaimDecision> => {
  const existing = bucket.get(claim.keyHash);
  if (existing !== undefined && !isExpired(existing, now)) {
    return existing.nonce === claim.nonce
      ? { bucket, answer: { kind: 'granted' } }
      : { bucket, answer: existingClaimResult(existing, claim.bodyDigest, now, isGone) };
  }
  if (bucketBytes(bucket) + claimBytes(claim) > maxBucketBytesForClaims) {
    return { bucket, answer: { kind: 'full', retryAfterMs: nextExpiryInMs(bucket, now) } };
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

/** Records the outcome of a claim, undefined if unknown. A recorded outcome is never replaced. */
export const recordOutcome = (
  bucket: Bucket,
  claim: Claim,
  outcome: RecordedOutcome | undefined,
): Bucket => {
  const existing = bucket.get(claim.keyHash);
  if (existing?.nonce !== claim.nonce || existing.state === ClaimState.done) return bucket;
  if (outcome === undefined) {
    return existing.state === ClaimState.unknown
      ? bucket
      : withClaim(bucket, { ...existing, state: ClaimState.unknown });
  }
  const done: Claim = { ...existing, state: ClaimState.done, outcome };
  const size = bucketBytes(bucket) - claimBytes(existing) + claimBytes(done);
  const recorded =
    size <= maxBucketBytesForBodies ? done : { ...done, outcome: withoutBody(outcome) };
  return withClaim(bucket, recorded);
};

/** Adds a claim that the store has lost, in place of any other one for its key. */
export const restoreClaim = (bucket: Bucket, claim: Claim): Bucket => {
  const restored = withClaim(bucket, claim);
  if (claim.outcome === undefined || bucketBytes(restored) <= maxBucketBytesForBodies) {
    return restored;
  }
  return withClaim(bucket, { ...claim, outcome: withoutBody(claim.outcome) });
};

/** Removes a claim whose dispatch did not happen and will not happen. */
export const releaseClaim = (bucket: Bucket, claim: Claim): Bucket => {
  const existing = bucket.get(claim.keyHash);
  if (existing?.nonce !== claim.nonce || existing.state === ClaimState.done) return bucket;
  return new Map([...bucket].filter(([hash]) => hash !== claim.keyHash));
};
