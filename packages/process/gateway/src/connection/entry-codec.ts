import { constants, deflateRawSync, inflateRawSync } from 'node:zlib';
import type { Entry } from '@currantdrift/core';
import { z } from 'zod';

/** Smallest value that is compressed, in bytes. */
const compressionThresholdBytes = 4_096;

/** Largest decompressed size accepted for a value from a peer, in bytes. */
const maxDecompressedBytes = 4 * 1024 * 1024;

/** Caches the compressed form of each value, so that a value is compressed at most once. */
const compressedValues = new WeakMap<Uint8Array, Uint8Array>();

/** An entry as encoded in a peer message. */
export interface EncodedEntry extends Entry {
  readonly isCompressed?: boolean;
}

const compress = (value: Uint8Array): Uint8Array => {
  const cached = compressedValues.get(value);
  if (cached !== undefined) return cached;
  const deflated = deflateRawSync(value, { level: constants.Z_BEST_SPEED });
  compressedValues.set(value, deflated);
  return deflated;
};

/**
 * Compresses the value of an entry if it is large. Each change of the configuration carries the whole
 * configuration, and relays send it to every member over links with little bandwidth.
 */
export const encodeEntry = (entry: Entry): EncodedEntry =>
  entry.value.length < compressionThresholdBytes
    ? entry
    : { ...entry, value: compress(entry.value), isCompressed: true };

const decompress = (value: Uint8Array): Uint8Array | undefined => {
  try {
    const inflated = inflateRawSync(value, { maxOutputLength: maxDecompressedBytes });
    compressedValues.set(inflated, value);
    return inflated;
  } catch {
    return undefined;
  }
};

/** Parses an entry of a peer message; fails if its value is not valid deflate data or too large. */
export const entrySchema = z
  .object({
    key: z.string(),
    value: z.custom<Uint8Array>((value) => value instanceof Uint8Array, 'expected bytes'),
    revision: z.number(),
    isCompressed: z.boolean().optional(),
  })
  .transform(({ key, value, revision, isCompressed }, context): Entry => {
    if (isCompressed !== true) return { key, value, revision };
    const inflated = decompress(value);
    if (inflated !== undefined) return { key, value: inflated, revision };
    const message = `the value does not decompress to at most ${maxDecompressedBytes} bytes`;
    context.issues.push({ code: 'custom', message, input: key, path: ['value'] });
    return z.NEVER;
  });
