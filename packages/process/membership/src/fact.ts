import { hash32 } from '@currantdrift/core';

/** Version of a fact; compared number by number, and the greater one wins. */
export type Rank = readonly number[];

/** A piece of state that every member of a domain learns. */
export interface Fact {
  readonly key: string;
  readonly rank: Rank;
  readonly value: unknown;
}

/** A fact between daemons; without a value it only announces a fact too large for gossip. */
export type WireFact = readonly [key: string, rank: Rank, value?: unknown];

/** Prefixes of fact keys. */
export const FactPrefix = {
  member: 'm/',
  /** Host, boot id, memory and state of an endpoint. */
  endpoint: 'e/',
  /** Items in an endpoint's memory. */
  items: 'i/',
  /** Checkpoints that an endpoint has outside its memory. */
  cached: 'c/',
  /** Load levels of all endpoints of one watcher. */
  levels: 'v/',
  /** Marks of endpoints that are leaving; the rank is the incarnation of the host. */
  leaving: 'l/',
  /** Marks of endpoints that an operator drains. */
  drain: 'd/',
  /** Entry addresses, spare memory and bundle version of another domain. */
  domain: 'x/',
  /** Warm items of another domain; the key is followed by the domain, a slash and the item. */
  warm: 'w/',
  /** Whether a relay of the own domain hears from another domain. */
  heard: 'y/',
} as const;

const maxKeyLength = 512;

const maxRankLength = 4;

/** Above 0 if `a` is newer than `b`. */
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

/** Reads a fact from a peer; undefined if it is malformed. A fact without a value is a notice. */
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

/** Tells whether a fact only says that something is gone. Old ones are forgotten. */
export const isTombstone = (fact: Fact): boolean => {
  if (fact.key.startsWith(FactPrefix.member)) return (fact.rank[1] ?? 0) > 1;
  if (fact.key.startsWith(FactPrefix.endpoint)) return fact.value === null;
  const canEnd = fact.key.startsWith(FactPrefix.warm) || fact.key.startsWith(FactPrefix.drain);
  return canEnd && fact.value === false;
};
