import type { Bundle, Caller } from '@currantdrift/core';
import { sortedByName } from './sorted-list';

const sortedUnique = (texts: readonly string[]): string[] => [...new Set(texts)].sort();

const normalizeCaller = (caller: Caller): Caller => ({
  ...caller,
  keyHashes: sortedUnique(caller.keyHashes),
  items: sortedUnique(caller.items),
  services: sortedUnique(caller.services),
});

/**
 * Sorts the lists that are keyed by name, so that applying a delta rebuilds exactly the same bytes.
 * Domains keep their order, which is significant.
 */
export const normalize = (bundle: Bundle): Bundle => ({
  ...bundle,
  callers: sortedByName(bundle.callers.map(normalizeCaller)),
  models: sortedByName(bundle.models),
  adapters: sortedByName(bundle.adapters),
  services: sortedByName(bundle.services),
});
