import type { Entry } from '@currantdrift/core';
import { z } from 'zod';
import { deltaSchema } from './delta';
import { digestSchema } from './schema';

/** Key of the head, which names the accepted version. */
export const headKey = 'bundle/head';

/**
 * Identifies a rollout and its values in the store. The nonce is part of their keys, so that
 * concurrent rollouts of a version never share a value.
 */
const rolloutSchema = z.strictObject({
  version: z.int().min(1),
  digest: digestSchema,
  /** Unique identifier of the rollout: 32 hexadecimal digits. */
  nonce: z.string().regex(/^[0-9a-f]{32}$/),
  /** Operator who started the rollout. */
  operator: z.string(),
  /** Time of the rollout, in ms since the epoch. */
  at: z.number(),
  /** Number of chunks of the whole bundle. */
  chunks: z.int().min(1),
});

export const headSchema = rolloutSchema;

/** The accepted version, as stored in the head. */
export type Head = z.infer<typeof headSchema>;

export const recordSchema = z.strictObject({
  rollout: rolloutSchema,
  /** Nonce of the rollout of the previous version; null for the first version. */
  before: z.string().nullable(),
  /** Delta from the previous version; null for the first version. */
  delta: deltaSchema.nullable(),
});

/** The stored metadata of a version; its content is in the chunks. */
export type VersionRecord = z.infer<typeof recordSchema>;

export const versionPrefix = 'bundle/';

export const chunkKey = (version: number, nonce: string, index: number): string =>
  `bundle/${version}/${nonce}/${index}`;

export const recordKey = (version: number, nonce: string): string =>
  `bundle/${version}/${nonce}/record`;

/** Version that a key belongs to; undefined for the head. */
export const versionOfKey = (key: string): number | undefined => {
  const version = Number(/^bundle\/([0-9]+)\//.exec(key)?.[1]);
  return Number.isSafeInteger(version) ? version : undefined;
};

export const encodeValue = (value: Head | VersionRecord): Uint8Array =>
  Buffer.from(JSON.stringify(value), 'utf8');

/** Decodes a stored value; undefined if it does not match the schema. */
export const decodeValue = <T>(schema: z.ZodType<T>, entry: Entry): T | undefined => {
  try {
    return schema.parse(JSON.parse(Buffer.from(entry.value).toString('utf8')));
  } catch {
    return undefined;
  }
};
