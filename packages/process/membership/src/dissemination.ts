import type { Clock, Failure, Message } from '@currantdrift/core';
import { pack } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import {
  type Fact,
  FactPrefix,
  isTombstone,
  type Rank,
  readFact,
  toWire,
  type WireFact,
} from './fact';
import { FactTable } from './fact-table';
import { Gossip } from './gossip';
import type { ReconnectablePeers } from './reconnectable-peers';

export interface DisseminationOptions {
  readonly peers: ReconnectablePeers;
  readonly clock: Clock;
  readonly domain: string;
  /** Current number of members that updates must reach. */
  readonly memberCount: () => number;
  /** Returns false to reject a received fact. */
  readonly accepts: (fact: Fact) => boolean;
}

/** Maximum size of the facts in one message of a full-state pull or a repair, in bytes. */
const maxChunkBytes = 32 * 1024;

const requestTimeoutMs = 2000;

/** Timeouts of the attempts of a direct delivery; together they stay under 2 s. */
const deliveryTimeoutsMs = [300, 400, 600] as const;

/** Gossip backlog above which a digest comparison is faster than gossip, in bytes. */
const maxGossipBacklogBytes = 10 * 600;

/** Maximum number of differing facts at which two members count as in sync. */
const maxSmallDifference = 10;

/** Time for gossip to reach almost all members of a domain, in ms. */
const gossipReachMs = 5000;

/** Splits facts into chunks that fit into one message; a larger fact gets its own chunk. */
const chunks = (facts: readonly Fact[]): WireFact[][] => {
  const all: WireFact[][] = [];
  let current: WireFact[] = [];
  let room = maxChunkBytes;
  facts.map(toWire).forEach((wire) => {
    const bytes = pack(wire).length;
    if (bytes > room && current.length > 0) {
      all.push(current);
      current = [];
      room = maxChunkBytes;
    }
    current.push(wire);
    room -= bytes;
  });
  if (current.length > 0) all.push(current);
  return all;
};

const asArray = (value: unknown): readonly unknown[] => (Array.isArray(value) ? value : []);

const asStrings = (value: unknown): readonly string[] =>
  asArray(value).filter((each): each is string => typeof each === 'string');

/** Replicates facts to the members of a domain by gossip, direct delivery, pull and repair. */
export class Dissemination {
  readonly table = FactTable.create();

  private readonly gossip = Gossip.create();

  private readonly fetching = new Set<string>();

  /** Time at which each tombstone was added, in ms since the epoch. */
  private readonly tombstones = new Map<string, number>();

  private readonly filters: {
    readonly prefix: string;
    readonly accepts: (fact: Fact) => boolean;
  }[] = [];

  private constructor(private readonly options: DisseminationOptions) {
    const { peers } = options;
    peers.onRequest('m.update', (message, from) => this.onUpdate(message, from));
    peers.onRequest('m.fetch', (message) => this.onFetch(message));
    peers.onRequest('m.pull', (message, from) => this.onPull(message, from));
    peers.onRequest('m.digest', (message, from) => this.onDigest(message, from));
    peers.onRequest('m.sync', (message, from) => this.onSync(message, from));
  }

  static create(options: DisseminationOptions): Dissemination {
    return new Dissemination(options);
  }

  /** Rejects received facts under `prefix` for which `accepts` returns false. */
  addFilter(prefix: string, accepts: (fact: Fact) => boolean): void {
    this.filters.push({ prefix, accepts });
  }

  /** Deletes tombstones that were added before `time`, in ms since the epoch. */
  forgetTombstonesBefore(time: number): void {
    this.tombstones.forEach((since, key) => {
      if (since >= time) return;
      this.tombstones.delete(key);
      this.table.forget(key);
      if (!key.startsWith(FactPrefix.endpoint)) return;
      const id = key.slice(FactPrefix.endpoint.length);
      [FactPrefix.items, FactPrefix.cached, FactPrefix.leaving].forEach((prefix) =>
        this.table.forget(`${prefix}${id}`),
      );
    });
  }

  /** Stores a fact and queues it for gossip; returns false if it isn't newer than the known one. */
  publish(fact: Fact): boolean {
    if (!this.table.apply(fact)) return false;
    if (isTombstone(fact)) this.tombstones.set(fact.key, this.options.clock.now());
    else this.tombstones.delete(fact.key);
    this.gossip.add(fact, !fact.key.startsWith(FactPrefix.levels), this.options.clock.now());
    return true;
  }

  /** Updates to piggyback on a message. */
  updates(): WireFact[] {
    return this.gossip.take(this.options.memberCount());
  }

  /** Whether more updates are pending than gossip can send in ten messages of 600 bytes. */
  get hasBacklog(): boolean {
    return this.gossip.backlogBytes > maxGossipBacklogBytes;
  }

  /** Applies the updates of a message from `from` and fetches announced large facts. */
  receive(updates: unknown, from: string): void {
    const missing: string[] = [];
    asArray(updates).forEach((raw) => {
      const read = readFact(raw);
      if (read === undefined) return;
      const { fact, isNotice } = read;
      if (!this.table.isNewer(fact.key, fact.rank)) return;
      if (isNotice) missing.push(fact.key);
      else if (this.accepts(fact)) this.publish(fact);
    });
    if (missing.length > 0) this.fetch(missing, from).catch(() => {});
  }

  /**
   * Sends facts directly to a member, with retries until it confirms. Gossip covers a member that
   * does not answer.
   */
  async deliver(address: string, facts: readonly Fact[]): Promise<boolean> {
    const message = { kind: 'm.update', u: facts.map(toWire) };
    for (const timeoutMs of deliveryTimeoutsMs) {
      const startedAt = this.options.clock.now();
      const answer = await this.options.peers.request(address, message, timeoutMs);
      if (answer.isOk()) return true;
      // A refused connection fails immediately; the next attempt waits out this one's timeout.
      await this.options.clock.sleep(startedAt + timeoutMs - this.options.clock.now());
    }
    return false;
  }

  /** Fetches the full state of a member of the same domain in chunks. */
  async pull(address: string, own: Fact): Promise<Result<void, Failure>> {
    let cursor = '';
    for (;;) {
      const message = { kind: 'm.pull', d: this.options.domain, c: cursor, u: [toWire(own)] };
      const answer = await this.options.peers.request(address, message, requestTimeoutMs);
      if (answer.isErr()) return err(answer.error);
      this.receive(answer.value.u, address);
      const next: unknown = answer.value.c;
      if (typeof next !== 'string' || next <= cursor) return ok(undefined);
      cursor = next;
    }
  }

  /** Compares digests with a member and exchanges the facts that differ (anti-entropy). */
  async repair(address: string): Promise<Result<void, Failure>> {
    const message = { kind: 'm.digest', d: this.options.domain, h: this.table.digest() };
    const answer = await this.options.peers.request(address, message, requestTimeoutMs);
    if (answer.isErr()) return err(answer.error);
    const remoteRanks = new Map<string, Rank>();
    asArray(answer.value.k).forEach((raw) => {
      const read = readFact(raw);
      if (read !== undefined) remoteRanks.set(read.fact.key, read.fact.rank);
    });
    const wanted = [...remoteRanks].filter(([key, rank]) => this.table.isNewer(key, rank));
    const buckets = new Set(asArray(answer.value.b).map(Number));
    const newer = this.table.factsInBuckets(buckets).filter((fact) => {
      const known = remoteRanks.get(fact.key);
      return known === undefined || !this.isAtMost(fact.rank, known);
    });
    this.dropKnownUpdates(wanted.length, newer);
    return this.exchange(
      address,
      chunks(newer),
      wanted.map(([key]) => key),
    );
  }

  /** Rejects tombstones of unknown keys, which would otherwise circulate forever. */
  private accepts(fact: Fact): boolean {
    if (isTombstone(fact) && this.table.get(fact.key) === undefined) return false;
    const refuses = this.filters.some(
      ({ prefix, accepts }) => fact.key.startsWith(prefix) && !accepts(fact),
    );
    return !refuses && this.options.accepts(fact);
  }

  private isAtMost(rank: Rank, other: Rank): boolean {
    return rank.every((part, index) => part === (other[index] ?? 0));
  }

  /**
   * Drops older updates if a random member is nearly in sync: the other members then have them too.
   * Otherwise the updates from the start of a domain would fill gossip messages for minutes.
   */
  private dropKnownUpdates(wantedCount: number, newer: readonly Fact[]): void {
    if (wantedCount + newer.length > maxSmallDifference) return;
    const needed = new Set(newer.map(({ key }) => key));
    this.gossip.dropBefore(this.options.clock.now() - gossipReachMs, needed);
  }

  private async exchange(
    address: string,
    outgoing: WireFact[][],
    wanted: readonly string[],
  ): Promise<Result<void, Failure>> {
    let rest = wanted;
    for (let round = 0; round < outgoing.length || rest.length > 0; round += 1) {
      const message = { kind: 'm.sync', u: outgoing[round] ?? [], w: rest };
      const answer = await this.options.peers.request(address, message, requestTimeoutMs);
      if (answer.isErr()) return err(answer.error);
      this.receive(answer.value.u, address);
      const left = asStrings(answer.value.r);
      rest = left.length < rest.length ? left : [];
    }
    return ok(undefined);
  }

  private async fetch(keys: readonly string[], from: string): Promise<void> {
    const wanted = keys.filter((key) => !this.fetching.has(key));
    if (wanted.length === 0) return;
    wanted.forEach((key) => this.fetching.add(key));
    const message = { kind: 'm.fetch', w: wanted };
    const answer = await this.options.peers.request(from, message, requestTimeoutMs);
    wanted.forEach((key) => this.fetching.delete(key));
    if (answer.isOk()) this.receive(answer.value.u, from);
  }

  private onUpdate(message: Message, from: string): Message {
    this.receive(message.u, from);
    return { kind: 'm.ok' };
  }

  private onFetch(message: Message): Message {
    return { kind: 'm.facts', u: this.collect(asStrings(message.w)).sent };
  }

  private onPull(message: Message, from: string): Message {
    if (message.d !== this.options.domain) return { kind: 'm.facts', u: [] };
    this.receive(message.u, from);
    const cursor = typeof message.c === 'string' ? message.c : '';
    const [first = [], ...rest] = chunks(this.table.after(cursor));
    return { kind: 'm.facts', u: first, c: rest.length > 0 ? first[first.length - 1][0] : '' };
  }

  private onDigest(message: Message, from: string): Message {
    if (message.d !== this.options.domain || !(message.h instanceof Uint8Array)) {
      return { kind: 'm.ranks', b: [], k: [] };
    }
    this.receive(message.u, from);
    const buckets = this.table.differingBuckets(message.h);
    const ranks = this.table.factsInBuckets(buckets).map((fact) => [fact.key, fact.rank]);
    return { kind: 'm.ranks', b: [...buckets], k: ranks };
  }

  private onSync(message: Message, from: string): Message {
    this.receive(message.u, from);
    const { sent, left } = this.collect(asStrings(message.w));
    return { kind: 'm.facts', u: [...sent, ...this.updates()], r: left };
  }

  /** Returns the facts for `keys` that fit into one message, and the remaining keys. */
  private collect(keys: readonly string[]): { sent: WireFact[]; left: string[] } {
    const facts = keys.flatMap((key) => this.table.get(key) ?? []);
    const [sent = [], ...rest] = chunks(facts);
    return { sent, left: rest.flat().map(([key]) => key) };
  }
}
