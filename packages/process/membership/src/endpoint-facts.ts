import {
  type EndpointReport,
  type EndpointState,
  type Host,
  HostKind,
  HostState,
} from '@currantdrift/core';
import { type Fact, FactPrefix, type Rank } from './fact';

/** State of an endpoint other than its items and load. */
export interface EndpointBase {
  readonly host: Host;
  readonly bootId: string;
  readonly sequence: number;
  readonly state: HostState;
  readonly memoryBytes: number;
  readonly slots: number;
  /** False if the endpoint does not answer its watcher. */
  readonly reachable: boolean;
  /** Requests per second that it takes from all daemons together; undefined for no limit. */
  readonly requestLimitPerS: number | undefined;
  /** Version of its software; undefined if it does not state it. */
  readonly softwareVersion: string | undefined;
  /** Hash of the watcher's name. */
  readonly watcher: number;
}

/** A list reported by one boot of an endpoint; it is ignored once the boot id differs. */
export interface BootList<T> {
  readonly bootId: string;
  readonly sequence: number;
  readonly values: readonly T[];
}

export type StateItem = EndpointState['items'][number];
export type CachedItem = EndpointState['cached'][number];

/** Index of `reachable` in the value of a base fact. */
export const reachableIndex = 11;

const itemStates = ['loading', 'ready', 'unloading'] as const;
const cacheTiers = ['memory', 'disk', 'remote'] as const;
const hostKinds = Object.values(HostKind);

const isLeaving = (state: HostState) => state === HostState.leaving;

const stateOf = (leaving: unknown): HostState =>
  leaving === true ? HostState.leaving : HostState.live;

const optionalValues = ({ requestLimitPerS, softwareVersion }: EndpointReport): unknown[] => {
  if (softwareVersion !== undefined) return [requestLimitPerS ?? null, softwareVersion];
  return requestLimitPerS === undefined ? [] : [requestLimitPerS];
};

export const baseFact = (
  host: Host,
  report: EndpointReport,
  reachable: boolean,
  rank: Rank,
): Fact => ({
  key: `${FactPrefix.endpoint}${host.name}`,
  rank,
  value: [
    hostKinds.indexOf(host.kind),
    host.address,
    host.incarnation,
    host.pool,
    host.fencing,
    isLeaving(host.state),
    report.bootId,
    report.sequence,
    isLeaving(report.state),
    report.memoryBytes,
    report.slots,
    reachable,
    // Daemons that do not know of limits or software versions ignore further values.
    ...optionalValues(report),
  ],
});

/** Tombstone of an endpoint that is no longer in the host list. */
export const removedFact = (name: string, rank: Rank): Fact => ({
  key: `${FactPrefix.endpoint}${name}`,
  rank,
  value: null,
});

export const itemsFact = (host: Host, report: EndpointReport, rank: Rank): Fact => ({
  key: `${FactPrefix.items}${host.name}`,
  rank,
  value: [
    report.bootId,
    report.sequence,
    report.items.map(({ item, bytes, state }) => [item, bytes, itemStates.indexOf(state)]),
  ],
});

export const cachedFact = (host: Host, report: EndpointReport, rank: Rank): Fact => ({
  key: `${FactPrefix.cached}${host.name}`,
  rank,
  value: [
    report.bootId,
    report.sequence,
    report.cached.map(({ item, tier }) => [item, cacheTiers.indexOf(tier)]),
  ],
});

/** Parses the base of an endpoint of `domain`; undefined if it was removed or is malformed. */
export const readBase = (fact: Fact, domain: string): EndpointBase | undefined => {
  if (!Array.isArray(fact.value) || fact.value.length < 12) return undefined;
  const [kind, address, incarnation, pool, fencing, hostLeaving, ...rest] = fact.value as unknown[];
  const [bootId, sequence, leaving, memoryBytes, slots, reachable, ...optional] = rest;
  const [requestLimitPerS, softwareVersion] = optional;
  return {
    host: {
      name: fact.key.slice(FactPrefix.endpoint.length),
      kind: hostKinds[Number(kind)] ?? HostKind.engine,
      domain,
      address: String(address),
      state: stateOf(hostLeaving),
      incarnation: Number(incarnation),
      pool: String(pool),
      fencing: fencing === true,
    },
    bootId: String(bootId),
    sequence: Number(sequence),
    state: stateOf(leaving),
    memoryBytes: Number(memoryBytes),
    slots: Number(slots),
    reachable: reachable === true,
    requestLimitPerS: typeof requestLimitPerS === 'number' ? requestLimitPerS : undefined,
    softwareVersion: typeof softwareVersion === 'string' ? softwareVersion : undefined,
    watcher: fact.rank[2] ?? 0,
  };
};

const readList = <T>(
  fact: Fact,
  read: (entry: readonly unknown[]) => T,
): BootList<T> | undefined => {
  if (!Array.isArray(fact.value)) return undefined;
  const [bootId, sequence, entries] = fact.value as unknown[];
  const lists = (Array.isArray(entries) ? entries : []).filter((entry) => Array.isArray(entry));
  return {
    bootId: String(bootId),
    sequence: Number(sequence),
    values: lists.map((entry) => read(entry as unknown[])),
  };
};

export const readItems = (fact: Fact): BootList<StateItem> | undefined =>
  readList(fact, ([item, bytes, state]) => ({
    item: String(item),
    bytes: Number(bytes),
    state: itemStates[Number(state)] ?? 'unloading',
  }));

export const readCached = (fact: Fact): BootList<CachedItem> | undefined =>
  readList(fact, ([item, tier]) => ({
    item: String(item),
    tier: cacheTiers[Number(tier)] ?? 'remote',
  }));
