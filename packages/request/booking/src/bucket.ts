import { type Entry, maxValueBytes } from '@currantdrift/core';
import { z } from 'zod';
import { type Claim, claimSchema, ClaimState, clockSkewMs } from './claim';

/** Number of buckets, each one value of the store. */
export const bucketCount = 256;

/** Size of a bucket above which it takes no more claims, in bytes. */
export const maxClaimBytes = 800_000;

/**
 * Size of a bucket above which outcomes are recorded without their body, in bytes. It is below
 * `maxClaimBytes`, so that kept bodies do not use up the room for claims.
 */
export const maxOutcomeBytes = 600_000;

/** Room that a claim needs later for an outcome without a body, in bytes. */
const outcomeRoomBytes = 350;

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

// Claims are immutable; a batch asks for the size of the same claims again and again.
const sizes = new WeakMap<Claim, number>();

/** Size of a claim in its bucket with the room for its outcome, in bytes. */
export const claimBytes = (claim: Claim): number => {
  const known = sizes.get(claim);
  if (known !== undefined) return known;
  const room = claim.state === ClaimState.done ? 0 : outcomeRoomBytes;
  const size = Buffer.byteLength(JSON.stringify(claim)) + 1 + room;
  sizes.set(claim, size);
  return size;
};

// A bucket is immutable too; its size follows from that of the bucket that it was made from.
const bucketSizes = new WeakMap<Bucket, number>();

/** Size of a bucket with the room for the outcomes of its claims, in bytes. */
export const bucketBytes = (bucket: Bucket): number => {
  const known = bucketSizes.get(bucket);
  if (known !== undefined) return known;
  const size = [...bucket.values()].reduce((sum, claim) => sum + claimBytes(claim), 2);
  bucketSizes.set(bucket, size);
  return size;
};

/** The bucket with a claim added or put in place of the one with its key hash. */
export const withClaim = (bucket: Bucket, claim: Claim): Bucket => {
  const held = bucket.get(claim.keyHash);
  const next = new Map(bucket).set(claim.keyHash, claim);
  const replaced = held === undefined ? 0 : claimBytes(held);
  bucketSizes.set(next, bucketBytes(bucket) + claimBytes(claim) - replaced);
  return next;
};

export const isExpired = (claim: Claim, now: number): boolean =>
  now >= claim.expiresAt + clockSkewMs;

/** The claims that have not expired. */
export const trimmed = (bucket: Bucket, now: number): Bucket => {
  const kept = [...bucket].filter(([, claim]) => !isExpired(claim, now));
  return kept.length === bucket.size ? bucket : new Map(kept);
};

/** Reads a bucket; undefined if the value does not follow the schema. */
export const decodeBucket = (entry: Entry | undefined): Bucket | undefined => {
  if (entry === undefined) return new Map();
  try {
    const claims = bucketSchema.parse(JSON.parse(Buffer.from(entry.value).toString('utf8')));
    const bucket = new Map(claims.map((claim) => [claim.keyHash, claim]));
    const open = claims.filter(({ state }) => state !== ClaimState.done).length;
    bucketSizes.set(bucket, entry.value.length + open * outcomeRoomBytes);
    return bucket;
  } catch {
    return undefined;
  }
};

/** Value of a bucket in the store; undefined for an empty one, which is deleted. */
export const encodeBucket = (bucket: Bucket): Uint8Array | undefined => {
  if (bucket.size === 0) return undefined;
  const bytes = Buffer.from(JSON.stringify([...bucket.values()]), 'utf8');
  if (bytes.length > maxValueBytes) {
    throw new RangeError(`a bucket of ${bytes.length} bytes exceeds the store's limit`);
  }
  return bytes;
};
