import { type Change, type Entry, HostState, NoopTelemetry } from '@currantdrift/core';
import { EndpointDirectory } from '@currantdrift/fleet';
import {
  endpointRecord,
  MemoryPrefixStore,
  PrefixStoreHandle,
  VirtualClock,
} from '@currantdrift/fakes';
import type { Configuration } from '@currantdrift/routes';
import { err, ok } from 'neverthrow';
import type { Feed } from '../src/process/feed';
import { PrefixFollower } from '../src/process/prefix-follower';
import { ConfigurationHolder } from '../src/version/configuration-holder';
import { EndpointDirectoryUpdater } from '../src/version/endpoint-directory-updater';
import { freshnessLimits } from '../src/version/freshness';
import { noFeed } from './no-feed';

const bytes = (text: string) => Buffer.from(text);

const decodeEndpoint = ({ key, value }: Entry) => {
  const text = Buffer.from(value).toString();
  if (text === 'malformed') return err('service: missing');
  const record = endpointRecord({
    id: key.slice('e/'.length),
    address: text,
    state: text === 'leaving' ? HostState.leaving : HostState.live,
  });
  return ok(record);
};

const start = (feed: Feed = noFeed()) => {
  const clock = VirtualClock.create();
  const store = MemoryPrefixStore.create(clock);
  const handle = PrefixStoreHandle.create(store, clock);
  const lines: { event: string; prefix?: string; source?: string }[] = [];
  const telemetry = Object.assign(NoopTelemetry.create(), {
    log: (event: string, fields: object) => lines.push({ event, ...fields }),
  });
  const directory = EndpointDirectory.create();
  const endpoints = EndpointDirectoryUpdater.create(
    'e/',
    decodeEndpoint,
    directory,
    telemetry,
    clock,
  );
  const stop = new AbortController();
  const follower = PrefixFollower.create({
    store: handle,
    clock,
    random: { next: () => 0.5 },
    telemetry,
    prefix: 'e/',
    listener: endpoints,
    pauseMs: 20,
    feed,
    startsFromFeed: true,
    limits: freshnessLimits(2_500),
    onStoreRecovery: (now) => endpoints.storeRecovered(now),
  });
  follower.run(stop.signal).catch(() => {});
  const ids = () => directory.all().map(({ id, address }) => `${id} ${address}`);
  return { clock, store, handle, ids, follower, lines };
};

describe('endpoints', () => {
  // Guards against endpoint changes that the directory misses.
  test('the directory follows the entries', async () => {
    const { clock, store, ids } = start();
    store.write('e/1', bytes('x'));
    await clock.advance(100);
    store.write('e/2', bytes('y'));
    store.write('e/1', bytes('z'));
    await clock.advance(100);
    expect(ids()).toEqual(['1 z', '2 y']);
    store.write('e/1', undefined);
    await clock.advance(100);
    expect(ids()).toEqual(['2 y']);
  });

  // Guards against a lagging watcher that brings back a removed endpoint.
  test('a listing from a member with an older revision is ignored', async () => {
    const old = { revision: 1, entries: [{ key: 'e/1', value: bytes('x'), revision: 1 }] };
    let isRestarted = false;
    const given = { ...old, ageMs: 0, host: 'lagging', requestedAt: 0 };
    const snapshot = () => Promise.resolve(isRestarted ? given : undefined);
    const { clock, store, ids } = start({ ...noFeed(), snapshot });
    store.write('e/1', bytes('x'));
    await clock.advance(100);
    store.write('e/1', undefined);
    store.write('e/2', bytes('y'));
    await clock.advance(100);
    isRestarted = true;
    store.write('e/3', bytes('z'));
    store.compact();
    await clock.advance(100);
    expect(ids()).toEqual(['2 y', '3 z']);
  });

  // Guards against a store that responds from an outdated replica just after it compacted its history.
  test('a listing from the store with an older revision is read again', async () => {
    const { clock, store, handle, ids, lines } = start();
    store.write('e/1', bytes('x'));
    const old = { revision: store.revision, entries: store.below('e/') };
    await clock.advance(100);
    store.write('e/1', undefined);
    store.write('e/2', bytes('y'));
    await clock.advance(100);
    handle.oldListings.push(old, old);
    store.write('e/3', bytes('z'));
    store.compact();
    const seen = new Set<string>();
    for (let step = 0; step < 100; step += 1) {
      await clock.advance(10);
      ids().forEach((id) => seen.add(id));
    }
    expect([...seen]).toEqual(['2 y', '3 z']);
    expect(ids()).toEqual(['2 y', '3 z']);
    expect(lines.filter(({ event }) => event === 'dependency.lost')).toHaveLength(1);
  });

  // Guards against entries that stay after they were removed in compacted history.
  test('after compaction the entries are listed again', async () => {
    const { clock, store, ids } = start();
    store.write('e/1', bytes('x'));
    await clock.advance(100);
    store.write('e/1', undefined);
    store.write('e/2', bytes('y'));
    store.compact();
    await clock.advance(100);
    expect(ids()).toEqual(['2 y']);
  });

  // Guards against dropping live endpoints whose entries expired during a store outage, and against
  // keeping endpoints that are gone.
  test('expired entries have two seconds to reappear after a store outage', async () => {
    const { clock, store, handle, ids } = start();
    store.write('e/1', bytes('x'));
    store.write('e/2', bytes('y'));
    await clock.advance(100);
    handle.cut = true;
    await clock.advance(5_000);
    store.write('e/1', undefined);
    store.write('e/2', undefined);
    handle.cut = false;
    await clock.advance(1_500);
    expect(ids()).toEqual(['1 x', '2 y']);
    store.write('e/1', bytes('x'));
    await clock.advance(1_500);
    expect(ids()).toEqual(['1 x']);
  });

  // Guards against stale entries that are not visible in the log.
  test('entries are logged when they become stale and when they are current again', async () => {
    const { clock, handle, follower, lines } = start();
    const advance = async (seconds: number) => {
      for (let step = 0; step < seconds * 2; step += 1) {
        await clock.advance(500);
        follower.reportAge(clock.now());
      }
    };
    await advance(1);
    handle.cut = true;
    await advance(25);
    handle.cut = false;
    await advance(3);
    const notes = lines.filter(({ event }) => event.startsWith('prefix.'));
    expect(notes.map(({ event, prefix, source }) => ({ event, prefix, source }))).toEqual([
      { event: 'prefix.stale', prefix: 'e/', source: 'store' },
      { event: 'prefix.current', prefix: 'e/', source: 'store' },
    ]);
  });

  // Guards against the same when the store has also compacted its history, so that entries are listed.
  test('expired entries have two seconds to reappear also after compaction', async () => {
    const { clock, store, handle, ids } = start();
    store.write('e/1', bytes('x'));
    await clock.advance(100);
    handle.cut = true;
    await clock.advance(5_000);
    store.write('e/1', undefined);
    store.compact();
    handle.cut = false;
    await clock.advance(1_500);
    expect(ids()).toEqual(['1 x']);
    await clock.advance(1_500);
    expect(ids()).toEqual([]);
  });

  // Guards against dropping live endpoints at a member that learns from others that an outage has ended.
  test('expired entries have two seconds to reappear if only the feed shows the recovery', async () => {
    const { clock, store, handle, ids, follower } = start({
      ...noFeed(),
      maxFeedAgeMs: () => 1_650,
    });
    store.write('e/1', bytes('x'));
    store.write('e/2', bytes('y'));
    await clock.advance(100);
    handle.cut = true;
    let known = 2;
    const receive = (...changes: readonly Change[]) => {
      const after = known;
      known += changes.length;
      const batch = { prefix: 'e/', after, revision: known, changes, ageMs: 50 };
      follower.receive(batch, 'relay');
    };
    const receiveHeartbeatsFor = async (ms: number) => {
      for (let step = 0; step < ms / 250; step += 1) {
        await clock.advance(250);
        receive();
      }
    };
    const removed = (key: string): Change => ({ kind: 'removed', key, revision: known + 1 });
    await receiveHeartbeatsFor(1_000);
    // During the outage no batches arrive, and the entries of live endpoints expire.
    await clock.advance(4_000);
    receive(removed('e/1'));
    receive(removed('e/2'));
    await receiveHeartbeatsFor(1_500);
    expect(ids()).toEqual(['1 x', '2 y']);
    receive({ kind: 'put', entry: { key: 'e/1', value: bytes('x'), revision: known + 1 } });
    await receiveHeartbeatsFor(1_000);
    expect(ids()).toEqual(['1 x']);
    // An entry that is removed while the store responds is removed at once.
    receive(removed('e/1'));
    expect(ids()).toEqual([]);
  });

  // Guards against a gap in the feed that is taken for an outage of the store: an endpoint that has gone got
  // requests for two seconds more.
  test('an entry that is removed while the feed has a gap is removed at the first read', async () => {
    const { clock, store, ids, follower } = start({ ...noFeed(), maxFeedAgeMs: () => 1_250 });
    store.write('e/1', bytes('x'));
    store.write('e/2', bytes('y'));
    await clock.advance(100);
    const { revision } = store;
    for (let step = 0; step < 12; step += 1) {
      await clock.advance(250);
      follower.receive(
        { prefix: 'e/', after: revision, revision, changes: [], ageMs: 600 },
        'relay',
      );
    }
    store.write('e/2', undefined);
    const goneAt = clock.now();
    while (ids().length > 1 && clock.now() < goneAt + 10_000) await clock.advance(10);
    expect(clock.now() - goneAt).toBeLessThan(2_000);
    expect(ids()).toEqual(['1 x']);
  });

  // What that must not cost callers: endpoints that live through an outage stay, also one that this process
  // notices only by a call which has not been answered yet.
  test.each([
    ['a call has failed', 5_000],
    ['the first call is under way', 1_900],
  ])(
    'expired entries have two seconds to reappear after an outage in which %s',
    async (_, outageMs) => {
      const { clock, store, handle, ids, follower } = start({
        ...noFeed(),
        maxFeedAgeMs: () => 1_250,
      });
      store.write('e/1', bytes('x'));
      await clock.advance(100);
      const { revision } = store;
      follower.receive(
        { prefix: 'e/', after: revision, revision, changes: [], ageMs: 50 },
        'relay',
      );
      handle.cut = true;
      await clock.advance(outageMs);
      const removed: Change = { kind: 'removed', key: 'e/1', revision: revision + 1 };
      follower.receive(
        { prefix: 'e/', after: revision, revision: revision + 1, changes: [removed], ageMs: 50 },
        'relay',
      );
      await clock.advance(1_500);
      expect(ids()).toEqual(['1 x']);
    },
  );

  // Guards against a malformed entry that removes or replaces a valid one.
  test('a malformed entry is ignored', async () => {
    const { clock, store, ids } = start();
    store.write('e/1', bytes('x'));
    await clock.advance(100);
    store.write('e/1', bytes('malformed'));
    store.write('e/3', bytes('malformed'));
    await clock.advance(100);
    expect(ids()).toEqual(['1 x']);
  });
});

describe('the configuration', () => {
  const entry = (text: string, revision: number): Entry => ({
    key: 'c/now',
    value: bytes(text),
    revision,
  });
  const decode = (value: Uint8Array) => {
    const version = Number(Buffer.from(value).toString());
    return Number.isNaN(version)
      ? err('version: not a number')
      : ok({ version, routes: [] } as unknown as Configuration);
  };

  // Guards against a configuration that reverts, and against one that is replaced by a malformed value.
  test('older versions and malformed values are ignored', () => {
    const holder = ConfigurationHolder.create('c/now', decode, NoopTelemetry.create());
    const versions = [entry('3', 1), entry('2', 2), entry('x', 3), entry('7', 4)].map((one) => {
      holder.onChange({ kind: 'put', entry: one });
      return holder.configuration?.version;
    });
    holder.onChange({ kind: 'removed', key: 'c/now', revision: 5 });
    expect([...versions, holder.configuration?.version]).toEqual([3, 3, 3, 7, 7]);
  });
});
