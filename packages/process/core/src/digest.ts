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
