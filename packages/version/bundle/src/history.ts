import type { Failure, Store } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { readHead, readRecords } from './bundle-store';
import { type Head, versionOfKey, versionPrefix } from './stored-values';

/** Number of versions that are kept in the store. */
export const retainedVersions = 64;

/** Accepted versions, newest first, at most `limit`. */
export const readHistory = async (
  store: Store,
  limit = retainedVersions,
): Promise<Result<readonly Head[], Failure>> => {
  const entry = await readHead(store);
  if (entry.isErr()) return err(entry.error);
  const { head } = entry.value;
  if (head === undefined) return ok([]);
  const oldest = Math.max(0, head.version - Math.min(limit, retainedVersions));
  const records = await readRecords(store, head, oldest);
  return records.map((found) => found.map(({ rollout }) => rollout));
};

/**
 * Deletes the chunks and records of all versions but the last 64, including those of rollouts that
 * were not accepted. Returns the number of deleted values. Safe to run at any time and concurrently.
 */
export const collectGarbage = async (store: Store): Promise<Result<number, Failure>> => {
  const entry = await readHead(store);
  if (entry.isErr()) return err(entry.error);
  const newest = entry.value.head?.version ?? 0;
  const keys = await store.list(versionPrefix);
  if (keys.isErr()) return err(keys.error);
  const old = keys.value.filter(({ key }) => {
    const version = versionOfKey(key);
    return version !== undefined && version <= newest - retainedVersions;
  });
  let deleted = 0;
  for (const { key, revision } of old) {
    const swap = await store.compareAndSwap(key, revision, undefined);
    if (swap.isErr()) return err(swap.error);
    if (swap.value.kind === 'swapped') deleted += 1;
  }
  return ok(deleted);
};
