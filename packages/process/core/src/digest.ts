import { createHash } from 'node:crypto';

/** Length of a digest, in hexadecimal digits: 128 bits do not collide by chance or by intent. */
const digestLength = 32;

/** Identifies a sequence of values. */
export const digest = (...values: readonly (string | Uint8Array)[]): string => {
  const hash = createHash('sha256');
  values.forEach((value) => {
    const bytes = typeof value === 'string' ? Buffer.from(value) : value;
    // The length keeps apart sequences whose values have the same bytes in other pieces.
    hash.update(`${bytes.byteLength}:`);
    hash.update(bytes);
  });
  return hash.digest('hex').slice(0, digestLength);
};

/** Longest id of a request that is kept as it is, in characters. */
const maxIdLength = 64;

/**
 * The key under which a request is remembered: its id, or its digest if the id is long, so that what is kept
 * has a bound. A digest is longer than an id that is kept as it is, so the two do not collide.
 */
export const requestKey = (id: string): string =>
  id.length <= maxIdLength ? id : `digest:${createHash('sha256').update(id).digest('hex')}`;
