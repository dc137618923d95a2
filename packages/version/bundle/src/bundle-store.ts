import { type Entry, type Failure, FailureKind, type Store } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import { decodeSignedBundle, joinChunks } from './bundle-codec';
import type { Delta } from './delta';
import type { Rejection } from './rejection';
import type { SignedBundle } from './signature';
import {
  chunkKey,
  decodeValue,
  type Head,
  headKey,
  headSchema,
  recordKey,
  recordSchema,
  type VersionRecord,
} from './stored-values';

/** The head and its revision in the store; revision 0 if nothing has been rolled out yet. */
export interface HeadEntry {
  readonly revision: number;
  readonly head: Head | undefined;
}

const invalid = (step: string, message: string): Failure => ({
  kind: FailureKind.invalid,
  step,
  peer: 'store',
  message,
});

/** Decodes the store entry of the head. */
export const decodeHead = (entry: Entry | undefined): Result<HeadEntry, Failure> => {
  if (entry === undefined) return ok({ revision: 0, head: undefined });
  const head = decodeValue(headSchema, entry);
  return head === undefined
    ? err(invalid('bundle.head', `the value of ${headKey} is not valid`))
    : ok({ revision: entry.revision, head });
};

export const readHead = async (store: Store): Promise<Result<HeadEntry, Failure>> =>
  (await store.get(headKey)).andThen(decodeHead);

const readValue = async <T>(
  store: Store,
  key: string,
  schema: z.ZodType<T>,
): Promise<Result<T, Failure>> =>
  (await store.get(key)).andThen((entry) => {
    const value = entry === undefined ? undefined : decodeValue(schema, entry);
    return value === undefined
      ? err(invalid('bundle.read', `${key} is ${entry === undefined ? 'missing' : 'not valid'}`))
      : ok(value);
  });

export const readRecord = (
  store: Store,
  version: number,
  nonce: string,
): Promise<Result<VersionRecord, Failure>> =>
  readValue(store, recordKey(version, nonce), recordSchema);

/** Reads the whole bundle of the version that a head names. */
export const readBundle = async (
  store: Store,
  head: Head,
): Promise<Result<SignedBundle, Failure | Rejection>> => {
  const chunks: Uint8Array[] = [];
  for (let index = 0; index < head.chunks; index += 1) {
    const key = chunkKey(head.version, head.nonce, index);
    const entry = await store.get(key);
    if (entry.isErr()) return err(entry.error);
    if (entry.value === undefined) return err(invalid('bundle.read', `${key} is missing`));
    chunks.push(entry.value.value);
  }
  return decodeSignedBundle(joinChunks(chunks));
};

/** Reads the records from the head back to the version after `since`, newest first. */
export const readRecords = async (
  store: Store,
  head: Head,
  since: number,
): Promise<Result<readonly VersionRecord[], Failure>> => {
  const records: VersionRecord[] = [];
  let nonce: string | null = head.nonce;
  for (let { version } = head; version > since && nonce !== null; version -= 1) {
    const record: Result<VersionRecord, Failure> = await readRecord(store, version, nonce);
    if (record.isErr()) return err(record.error);
    records.push(record.value);
    nonce = record.value.before;
  }
  return ok(records);
};

/** Reads the deltas that lead from version `since` to the head, oldest first. */
export const readDeltas = async (
  store: Store,
  head: Head,
  since: number,
): Promise<Result<readonly Delta[], Failure>> =>
  (await readRecords(store, head, since)).map((records) =>
    records.flatMap(({ delta }) => (delta === null ? [] : [delta])).reverse(),
  );
