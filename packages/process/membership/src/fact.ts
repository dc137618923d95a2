import { hash32 } from '@currantdrift/core';

/** Version of a fact, compared lexicographically; the greater one wins. */
export type Rank = readonly number[];

/** A versioned key-value pair that is replicated to every member of a domain. */
export interface Fact {
  readonly key: string;
  readonly rank: Rank;
  readonly value: unknown;
}

/** Wire form of a fact; without a value it announces a fact that is too large for gossip. */
export type WireFact = readonly [key: string, rank: Rank, value?: unknown];

/** Prefixes of fact keys. */
export const FactPrefix = {
  member: 'm/',
  /** Base state of an endpoint: host, boot id, memory, state. */
  endpoint: 'e/',
  /** Items in the accelerator memory of an endpoint. */
  items: 'i/',
  /** Checkpoints that an endpoint caches outside accelerator memory. */
  cached: 'c/',
  /** Load levels of the endpoints of one watcher. */
  levels: 'v/',
  /** Marks endpoints as leaving; the rank is the incarnation of the host. */
  leaving: 'l/',
  /** Marks endpoints that an operator drains. */
  drain: 'd/',
  /** Entry addresses, spare memory and bundle version of another domain. */
  domain: 'x/',
  /** Warm items of another domain; the prefix is followed by the domain, a slash and the item. */
  warm: 'w/',
  /** Whether a relay of the local domain receives messages from another domain. */
  domainReachable: 'y/',
} as const;

const maxKeyLength = 512;

const maxRankLength = 4;

/** Returns a positive number if `a` is newer than `b`, negative if older, otherwise 0. */
export const compareRanks = (a: Rank, b: Rank): number => {
  const length = Math.max(a.length, b.length);
  for (let index = 0; index < length; index += 1) {
    const difference = (a[index] ?? 0) - (b[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
};

const isRank = (value: unknown): value is Rank =>
  Array.isArray(value) &&
  value.length > 0 &&
  value.length <= maxRankLength &&
  value.every((part) => typeof part === 'number' && Number.isFinite(part));

/** Parses a fact from a peer; undefined if malformed. A fact without a value is a notice. */
export const readFact = (
  raw: unknown,
): { readonly fact: Fact; readonly isNotice: boolean } | undefined => {
  if (!Array.isArray(raw)) return undefined;
  const [key, rank, value] = raw as unknown[];
  if (typeof key !== 'string' || key.length > maxKeyLength || !isRank(rank)) return undefined;
  return { fact: { key, rank, value }, isNotice: raw.length === 2 };
};

export const toWire = (fact: Fact): WireFact => [fact.key, fact.rank, fact.value];

/** Hash of a fact's key and version. */
export const factHash = (fact: Fact): number => hash32(`${fact.key}\u0000${fact.rank.join(',')}`);

/** Returns whether a fact records a deletion. Tombstones are deleted after a retention time. */
export const isTombstone = (fact: Fact): boolean => {
  if (fact.key.startsWith(FactPrefix.member)) return (fact.rank[1] ?? 0) > 1;
  if (fact.key.startsWith(FactPrefix.endpoint)) return fact.value === null;
  const canEnd = fact.key.startsWith(FactPrefix.warm) || fact.key.startsWith(FactPrefix.drain);
  return canEnd && fact.value === false;
};
