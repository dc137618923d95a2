import { type Entry, maxValueBytes } from '@currantdrift/core';
import { z } from 'zod';
import { type Claim, claimSchema, ClaimState, clockSkewMs } from './claim';

/** Number of buckets. Each is stored as one value. */
export const bucketCount = 256;

/** Size of a bucket above which it accepts no more claims, in bytes. */
export const maxBucketBytesForClaims = 800_000;

/**
 * Size of a bucket above which outcomes are recorded without their body, in bytes. It is lower than
 * `maxBucketBytesForClaims`, so that bodies do not use up the space for claims.
 */
export const maxBucketBytesForBodies = 600_000;

/** Space reserved in a claim for its later outcome without a body, in bytes. */
const outcomeReserveBytes = 350;

/** Longest content type that is recorded, in characters. */
export const maxContentTypeChars = 128;

const bucketSchema = z.array(claimSchema);

/** Claims of a bucket by key hash. */
export type Bucket = ReadonlyMap<string, Claim>;

/** Store key of the bucket that a key hash belongs to. */
export const bucketKey = (hash: string): string => {
  const [first] = Buffer.from(hash, 'base64url');
  return `booking/${first % bucketCount}`;
};

// Claims are immutable, and a batch needs the sizes of the same claims many times.
const claimSizes = new WeakMap<Claim, number>();

/** Size of a claim in its bucket, including the space reserved for its outcome, in bytes. */
export const claimBytes = (claim: Claim): number => {
  const cachedSize = claimSizes.get(claim);
  if (cachedSize !== undefined) return cachedSize;
  const reserveBytes = claim.state === ClaimState.done ? 0 : outcomeReserveBytes;
  const size = Buffer.byteLength(JSON.stringify(claim)) + 1 + reserveBytes;
  claimSizes.set(claim, size);
  return size;
};

// Buckets are immutable too, and a new size is computed from that of the bucket it derives from.
const bucketSizes = new WeakMap<Bucket, number>();

/** Size of a bucket, including the space reserved for outcomes, in bytes. */
export const bucketBytes = (bucket: Bucket): number => {
  const cachedSize = bucketSizes.get(bucket);
  if (cachedSize !== undefined) return cachedSize;
  const size = [...bucket.values()].reduce((sum, claim) => sum + claimBytes(claim), 2);
  bucketSizes.set(bucket, size);
  return size;
};

/** Returns a copy of the bucket with `claim` added, replacing a claim with the same key hash. */
export const withClaim = (bucket: Bucket, claim: Claim): Bucket => {
  const existing = bucket.get(claim.keyHash);
  const next = new Map(bucket).set(claim.keyHash, claim);
  const replaced = existing === undefined ? 0 : claimBytes(existing);
  bucketSizes.set(next, bucketBytes(bucket) + claimBytes(claim) - replaced);
  return next;
};

export const isExpired = (claim: Claim, now: number): boolean =>
  now >= claim.expiresAt + clockSkewMs;

/** Returns the bucket without its expired claims. */
export const withoutExpired = (bucket: Bucket, now: number): Bucket => {
  const kept = [...bucket].filter(([, claim]) => !isExpired(claim, now));
  return kept.length === bucket.size ? bucket : new Map(kept);
};

/** Decodes a bucket; undefined if the value does not match the schema. */
export const decodeBucket = (entry: Entry | undefined): Bucket | undefined => {
  if (entry === undefined) return new Map();
  try {
    const claims = bucketSchema.parse(JSON.parse(Buffer.from(entry.value).toString('utf8')));
    const bucket = new Map(claims.map((claim) => [claim.keyHash, claim]));
    const unfinished = claims.filter(({ state }) => state !== ClaimState.done).length;
    bucketSizes.set(bucket, entry.value.length + unfinished * outcomeReserveBytes);
    return bucket;
  } catch {
    return undefined;
  }
};

/** Encodes a bucket; undefined for an empty bucket, which is deleted from the store. */
export const encodeBucket = (bucket: Bucket): Uint8Array | undefined => {
  if (bucket.size === 0) return undefined;
  const bytes = Buffer.from(JSON.stringify([...bucket.values()]), 'utf8');
  if (bytes.length > maxValueBytes) {
    throw new RangeError(`a bucket of ${bytes.length} bytes exceeds the store's limit`);
  }
  return bytes;
};
