import {
  type Clock,
  decodeJson,
  describeFailure,
  type Entry,
  type Failure,
  type Lease,
  type PrefixStore,
  type Random,
  type Telemetry,
} from '@currantdrift/core';
import type { BegunStream } from '@currantdrift/forward';
import { z } from 'zod';

/** Prefix of the streams in the store. No process follows it: it is read only to look a stream up. */
export const streamsPrefix = 'currantdrift-streams/';

/** Least interval between writes of a process, in ms, and the part of it for each member. */
const minWriteIntervalMs = 250;
const writeIntervalPerMemberMs = 10;

/** Interval between looks for streams that have ended, in ms. */
const forgetIntervalMs = 1_000;

/** Streams that one process keeps in the store; the oldest ones are dropped first. */
const maxStored = 20_000;

/** Age up to which what was read is used again for a stream that it does not hold, in ms. */
const maxReadAgeMs = 1_000;

/** The lease of a process's entry lasts this many lifetimes of a stream, and is renewed as often meanwhile. */
const lifetimesPerLease = 2;
const renewalsPerLease = 4;

const maxTextLength = 200;
const text = z.string().max(maxTextLength);

/** Streams of one service at one software version. */
const groupSchema = z.object({
  service: text,
  softwareVersion: text,
  /** Ids of the clients' attempts. */
  requests: z.array(text).max(maxStored),
});
const entrySchema = z.array(groupSchema);

const encode = (streams: readonly BegunStream[]): Uint8Array => {
  const groups = new Map<string, z.infer<typeof groupSchema>>();
  streams.forEach(({ request, service, softwareVersion }) => {
    const key = JSON.stringify([service, softwareVersion]);
    const group = groups.get(key) ?? { service, softwareVersion, requests: [] };
    group.requests.push(request);
    groups.set(key, group);
  });
  return Buffer.from(JSON.stringify([...groups.values()]));
};

const decode = ({ value }: Entry): BegunStream[] | undefined =>
  decodeJson(entrySchema, value)
    .map((groups) =>
      groups.flatMap(({ requests, ...of }) => requests.map((request) => ({ ...of, request }))),
    )
    .unwrapOr(undefined);

export interface StoredStreamsOptions {
  readonly store: PrefixStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly host: string;
  readonly members: () => number;
  /** Longest time from the begin of a stream to its end, over all tries of its client, in ms. */
  readonly streamLifetimeMs: () => number;
}

/**
 * Keeps the streams that this process began in services of several software versions in the store, so that
 * they can be taken up when all processes have ended at once.
 */
export class StoredStreams {
  /** Own streams, oldest first, with the time at which each began. */
  private own: (BegunStream & { readonly at: number })[] = [];

  private readonly key: string;

  private hasChanged = false;

  /** Aborted when streams are added. */
  private added = new AbortController();

  /** Revision of the entry; 0 if there is none. */
  private revision = 0;

  private lease: { readonly id: Lease['id']; readonly renewedAt: number } | undefined;

  /** What was read from the store last, by attempt. */
  private read = { at: -Infinity, streams: new Map<string, BegunStream>() };

  private reading: Promise<void> | undefined;

  private constructor(private readonly options: StoredStreamsOptions) {
    const start = Math.floor(options.random.next() * 2 ** 32).toString(36);
    this.key = `${streamsPrefix}${options.host}/${start}`;
  }

  static create(options: StoredStreamsOptions): StoredStreams {
    return new StoredStreams(options);
  }

  add(streams: readonly BegunStream[], now: number): void {
    const added = streams.map((stream) => ({ ...stream, at: now }));
    this.own = [...this.own, ...added].slice(-maxStored);
    this.hasChanged = true;
    this.added.abort();
  }

  /** Writes the streams until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, members } = this.options;
    while (!signal.aborted) {
      await this.awaitChange(signal);
      this.forget(clock.now());
      if (!this.hasChanged) continue;
      // A stream is written at once if the last write was a while ago, since streams are short.
      await this.write();
      const intervalMs = Math.max(minWriteIntervalMs, writeIntervalPerMemberMs * members());
      await clock.sleep(intervalMs, signal);
    }
  }

  private async awaitChange(signal: AbortSignal): Promise<void> {
    if (this.hasChanged) return;
    this.added = new AbortController();
    const woken = AbortSignal.any([signal, this.added.signal]);
    await this.options.clock.sleep(forgetIntervalMs, woken);
  }

  /** The stream of an attempt that some process has kept in the store. */
  async find(request: string): Promise<BegunStream | undefined> {
    const { clock } = this.options;
    const known = this.read.streams.get(request);
    if (known !== undefined || clock.now() - this.read.at < maxReadAgeMs) return known;
    this.reading ??= this.readAll().finally(() => {
      this.reading = undefined;
    });
    await this.reading;
    return this.read.streams.get(request);
  }

  private forget(now: number): void {
    const from = now - this.options.streamLifetimeMs();
    const left = this.own.filter(({ at }) => at >= from);
    if (left.length < this.own.length) this.hasChanged = true;
    this.own = left;
  }

  private async write(): Promise<void> {
    this.hasChanged = false;
    const lease = await this.heldLease(this.options.clock.now());
    const isWritten = lease !== undefined && (await this.swap(lease));
    if (!isWritten) this.hasChanged = true;
  }

  /** Replaces or removes the entry; returns whether that is done. */
  private async swap(lease: string): Promise<boolean> {
    const value = this.own.length === 0 ? undefined : encode(this.own);
    const held = value === undefined ? undefined : lease;
    const written = await this.options.store.compareAndSwap(this.key, this.revision, value, held);
    if (written.isErr()) {
      this.failed('write', written.error);
      return false;
    }
    const { value: result } = written;
    if (result.kind === 'swapped') {
      this.revision = value === undefined ? 0 : result.revision;
      return true;
    }
    // An earlier write whose answer was lost may have been carried out.
    this.revision = result.current?.revision ?? 0;
    return false;
  }

  /** The lease of the entry, granted or renewed where that is due; undefined if it cannot be had. */
  private async heldLease(now: number): Promise<string | undefined> {
    const { store, streamLifetimeMs } = this.options;
    const ttlMs = lifetimesPerLease * streamLifetimeMs();
    if (this.lease !== undefined && now - this.lease.renewedAt < ttlMs / renewalsPerLease) {
      return this.lease.id;
    }
    if (this.lease !== undefined && (await this.renew(this.lease.id, now))) return this.lease.id;
    const granted = await store.grantLease(ttlMs);
    if (granted.isErr()) {
      this.failed('lease', granted.error);
      return undefined;
    }
    this.lease = { id: granted.value.id, renewedAt: now };
    return this.lease.id;
  }

  private async renew(id: string, now: number): Promise<boolean> {
    const renewed = await this.options.store.renewLease(id);
    if (renewed.isOk()) {
      this.lease = { id, renewedAt: now };
      return true;
    }
    this.failed('renewal', renewed.error);
    return false;
  }

  private async readAll(): Promise<void> {
    const { store, clock, telemetry } = this.options;
    const listing = await store.listing(streamsPrefix);
    if (listing.isErr()) {
      this.failed('read', listing.error);
      return;
    }
    const streams = new Map<string, BegunStream>();
    listing.value.entries.forEach((entry) => {
      const found = decode(entry);
      if (found === undefined) {
        telemetry.count('currantdrift_malformed_entries_total', { kind: 'streams' });
        telemetry.log('streams.malformed', { key: entry.key, revision: entry.revision });
      } else found.forEach((stream) => streams.set(stream.request, stream));
    });
    this.read = { at: clock.now(), streams };
    telemetry.log('streams.read', { entries: listing.value.entries.length, streams: streams.size });
  }

  private failed(call: string, failure: Failure): void {
    const reason = describeFailure(failure);
    this.options.telemetry.log('streams.store_failed', { call, reason });
  }
}
