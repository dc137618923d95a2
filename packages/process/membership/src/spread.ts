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
import type { ProbingPeers } from './probing-peers';

export interface SpreadOptions {
  readonly peers: ProbingPeers;
  readonly clock: Clock;
  readonly domain: string;
  /** Number of members that updates must reach. */
  readonly memberCount: () => number;
  /** Decides on facts about this member; false keeps a fact out of the table. */
  readonly admits: (fact: Fact) => boolean;
}

/** Bytes of facts in one message of a full-state pull or a repair. */
const maxChunkBytes = 32 * 1024;

const requestTimeoutMs = 2000;

/** Tries of an immediate delivery, and the time for each; all within 2 s. */
const deliveryTimeoutsMs = [300, 400, 600] as const;

/** Backlog above which a digest comparison is faster than gossip, in bytes. */
const maxGossipBacklogBytes = 10 * 600;

/** Differences up to which two members count as equally informed. */
const maxFewFacts = 10;

/** Time in which gossip reaches almost all members of a domain, in ms. */
const spreadMs = 5000;

/** Splits facts into chunks that fit into one message; a larger fact makes a chunk of its own. */
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

const list = (value: unknown): readonly unknown[] => (Array.isArray(value) ? value : []);

const texts = (value: unknown): readonly string[] =>
  list(value).filter((each): each is string => typeof each === 'string');

/** Spreads facts over the members of a domain: gossip, immediate delivery, pull and repair. */
export class Spread {
  readonly table = FactTable.create();

  private readonly gossip = Gossip.create();

  private readonly fetching = new Set<string>();

  /** Time at which each tombstone was learned, in ms since the epoch. */
  private readonly tombstones = new Map<string, number>();

  private readonly filters: {
    readonly prefix: string;
    readonly admits: (fact: Fact) => boolean;
  }[] = [];

  private constructor(private readonly options: SpreadOptions) {
    const { peers } = options;
    peers.onRequest('m.update', (message, from) => this.onUpdate(message, from));
    peers.onRequest('m.fetch', (message) => this.onFetch(message));
    peers.onRequest('m.pull', (message, from) => this.onPull(message, from));
    peers.onRequest('m.digest', (message, from) => this.onDigest(message, from));
    peers.onRequest('m.sync', (message, from) => this.onSync(message, from));
  }

  static create(options: SpreadOptions): Spread {
    return new Spread(options);
  }

  /** Keeps facts of others out of the table for which `admits` is false. */
  filter(prefix: string, admits: (fact: Fact) => boolean): void {
    this.filters.push({ prefix, admits });
  }

  /** Forgets tombstones that were learned before `time`, in ms since the epoch. */
  forgetBefore(time: number): void {
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

  /** Takes a fact of this member and spreads it. False if a newer one is known. */
  publish(fact: Fact): boolean {
    if (!this.table.apply(fact)) return false;
    if (isTombstone(fact)) this.tombstones.set(fact.key, this.options.clock.now());
    else this.tombstones.delete(fact.key);
    this.gossip.add(fact, !fact.key.startsWith(FactPrefix.levels), this.options.clock.now());
    return true;
  }

  /** Updates to send along with a message. */
  updates(): WireFact[] {
    return this.gossip.take(this.options.memberCount());
  }

  /** Tells whether more is pending than gossip spreads in a few messages. */
  get isBehind(): boolean {
    return this.gossip.backlogBytes > maxGossipBacklogBytes;
  }

  /** Takes the updates of a message from `from`. */
  receive(updates: unknown, from: string): void {
    const missing: string[] = [];
    list(updates).forEach((raw) => {
      const read = readFact(raw);
      if (read === undefined) return;
      const { fact, isNotice } = read;
      if (!this.table.isNewer(fact.key, fact.rank)) return;
      if (isNotice) missing.push(fact.key);
      else if (this.admits(fact)) this.publish(fact);
    });
    if (missing.length > 0) this.fetch(missing, from).catch(() => {});
  }

  /**
   * Sends facts to a member at once and repeats until it confirms. Gossip covers a member that
   * could not be reached.
   */
  async deliver(address: string, facts: readonly Fact[]): Promise<boolean> {
    const message = { kind: 'm.update', u: facts.map(toWire) };
    for (const timeoutMs of deliveryTimeoutsMs) {
      const startedAt = this.options.clock.now();
      const answer = await this.options.peers.request(address, message, timeoutMs);
      if (answer.isOk()) return true;
      // A refused connection fails at once; the next try waits for the rest of this one's time.
      await this.options.clock.sleep(startedAt + timeoutMs - this.options.clock.now());
    }
    return false;
  }

  /** Takes the whole state of a member of the same domain, in chunks. */
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

  /** Compares digests with a member and exchanges what differs. */
  async repair(address: string): Promise<Result<void, Failure>> {
    const message = { kind: 'm.digest', d: this.options.domain, h: this.table.digest() };
    const answer = await this.options.peers.request(address, message, requestTimeoutMs);
    if (answer.isErr()) return err(answer.error);
    const theirs = new Map<string, Rank>();
    list(answer.value.k).forEach((raw) => {
      const read = readFact(raw);
      if (read !== undefined) theirs.set(read.fact.key, read.fact.rank);
    });
    const wanted = [...theirs].filter(([key, rank]) => this.table.isNewer(key, rank));
    const buckets = new Set(list(answer.value.b).map(Number));
    const newer = this.table.inBuckets(buckets).filter((fact) => {
      const known = theirs.get(fact.key);
      return known === undefined || !this.atMost(fact.rank, known);
    });
    this.rest(wanted.length, newer);
    return this.exchange(
      address,
      chunks(newer),
      wanted.map(([key]) => key),
    );
  }

  /** A tombstone of something unknown is kept out, or it would go round for ever. */
  private admits(fact: Fact): boolean {
    if (isTombstone(fact) && this.table.get(fact.key) === undefined) return false;
    const refuses = this.filters.some(
      ({ prefix, admits }) => fact.key.startsWith(prefix) && !admits(fact),
    );
    return !refuses && this.options.admits(fact);
  }

  private atMost(rank: Rank, other: Rank): boolean {
    return rank.every((part, index) => part === (other[index] ?? 0));
  }

  /**
   * A random member that lacks few facts shows that the others have the older ones too. Without
   * this the start of a domain would fill the messages of gossip for minutes.
   */
  private rest(wantedCount: number, newer: readonly Fact[]): void {
    if (wantedCount + newer.length > maxFewFacts) return;
    const needed = new Set(newer.map(({ key }) => key));
    this.gossip.dropBefore(this.options.clock.now() - spreadMs, needed);
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
      const left = texts(answer.value.r);
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
    return { kind: 'm.facts', u: this.collect(texts(message.w)).sent };
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
    const buckets = this.table.differing(message.h);
    const ranks = this.table.inBuckets(buckets).map((fact) => [fact.key, fact.rank]);
    return { kind: 'm.ranks', b: [...buckets], k: ranks };
  }

  private onSync(message: Message, from: string): Message {
    this.receive(message.u, from);
    const { sent, left } = this.collect(texts(message.w));
    return { kind: 'm.facts', u: [...sent, ...this.updates()], r: left };
  }

  /** Facts by key as far as they fit into one message, and the keys that are left. */
  private collect(keys: readonly string[]): { sent: WireFact[]; left: string[] } {
    const facts = keys.flatMap((key) => this.table.get(key) ?? []);
    const [sent = [], ...rest] = chunks(facts);
    return { sent, left: rest.flat().map(([key]) => key) };
  }
}
