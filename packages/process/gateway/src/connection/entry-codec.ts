import { constants, deflateRawSync, inflateRawSync } from 'node:zlib';
import type { Entry } from '@currantdrift/core';
import { z } from 'zod';

/** Size of a value from which it is compressed, in bytes. */
const compressedFromBytes = 4_096;

/** Largest size to which a value of a peer may decompress, in bytes. */
const maxValueBytes = 4 * 1024 * 1024;

/** Compressed forms of values that this process holds, so that each is compressed once. */
const compressedValues = new WeakMap<Uint8Array, Uint8Array>();

/** An entry as a message carries it. */
export interface SentEntry extends Entry {
  readonly isCompressed?: boolean;
}

const compressed = (value: Uint8Array): Uint8Array => {
  const known = compressedValues.get(value);
  if (known !== undefined) return known;
  const made = deflateRawSync(value, { level: constants.Z_BEST_SPEED });
  compressedValues.set(value, made);
  return made;
};

/**
 * Compresses a large value. Answers the load pattern "a large configuration changes": each change is the
 * whole configuration, and relays send it to every member over narrow links.
 */
export const encodeEntry = (entry: Entry): SentEntry =>
  entry.value.length < compressedFromBytes
    ? entry
    : { ...entry, value: compressed(entry.value), isCompressed: true };

const decompressed = (value: Uint8Array): Uint8Array | undefined => {
  try {
    const whole = inflateRawSync(value, { maxOutputLength: maxValueBytes });
    compressedValues.set(whole, value);
    return whole;
  } catch {
    return undefined;
  }
};

/** Parses an entry of a message; fails if its value does not decompress to an allowed size. */
export const entrySchema = z
  .object({
    key: z.string(),
    value: z.custom<Uint8Array>((value) => value instanceof Uint8Array, 'expected bytes'),
    revision: z.number(),
    isCompressed: z.boolean().optional(),
  })
  .transform(({ key, value, revision, isCompressed }, context): Entry => {
    if (isCompressed !== true) return { key, value, revision };
    const whole = decompressed(value);
    if (whole !== undefined) return { key, value: whole, revision };
    const message = `the value does not decompress to at most ${maxValueBytes} bytes`;
    context.issues.push({ code: 'custom', message, input: key, path: ['value'] });
    return z.NEVER;
  });
