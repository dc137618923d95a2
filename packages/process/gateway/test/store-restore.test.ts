import {
  type ChangesResult,
  type Entry,
  HostState,
  type Listing,
  NoopTelemetry,
  type PrefixStore,
  revisionInEra,
  startOfEra,
} from '@currantdrift/core';
import { endpointRecord, VirtualClock } from '@currantdrift/fakes';
import { EndpointDirectory } from '@currantdrift/fleet';
import type { Configuration } from '@currantdrift/routes';
import { ok } from 'neverthrow';
import { PrefixFollower } from '../src/process/prefix-follower';
import { ConfigurationHolder } from '../src/version/configuration-holder';
import { EndpointDirectoryUpdater } from '../src/version/endpoint-directory-updater';
import { freshnessLimits } from '../src/version/freshness';
import { noFeed } from './no-feed';

const text = (value: string) => Buffer.from(value);

const entry = (key: string, value: string, revision: number): Entry => ({
  key,
  value: text(value),
  revision,
});

describe('followers', () => {
  const inFirst = (revision: number) => revisionInEra(1, revision);
  const inSecond = (revision: number) => revisionInEra(2, revision);
  const oldListing: Listing = { revision: inFirst(50), entries: [entry('k', 'old', inFirst(9))] };
  const newListing: Listing = { revision: inSecond(20), entries: [entry('k', 'new', inSecond(8))] };

  /** A follower that has read `oldListing`; after that, the store is in its second era. */
  const start = async (peerListing: Listing | undefined) => {
    const clock = VirtualClock.create();
    let isRestored = false;
    const seen: string[] = [];
    const restored: number[] = [];
    const changes = async (_prefix: string, revision: number): Promise<ChangesResult> => {
      if (revision > inFirst(99) || !isRestored) return { kind: 'changes', changes: [], revision };
      return { kind: 'compacted', minRevision: startOfEra(2) };
    };
    const store = {
      listing: async () => ok(isRestored ? newListing : oldListing),
      changes: async (prefix: string, revision: number) => ok(await changes(prefix, revision)),
    } as unknown as PrefixStore;
    const follower = PrefixFollower.create({
      store,
      clock,
      random: { next: () => 0.5 },
      telemetry: NoopTelemetry.create(),
      prefix: 'k',
      listener: {
        onListing: (entries) => entries.forEach(({ value }) => seen.push(value.toString())),
        onChange: (change) => seen.push(change.kind),
      },
      pauseMs: 20,
      feed: {
        ...noFeed(),
        snapshot: async () =>
          isRestored && peerListing !== undefined
            ? { ...peerListing, ageMs: 0, host: 'peer', requestedAt: 0 }
            : undefined,
      },
      startsFromFeed: true,
      limits: freshnessLimits(2_500),
      onStoreRestored: (revision) => restored.push(revision),
    });
    follower.run(new AbortController().signal).catch(() => {});
    await clock.advance(50);
    isRestored = true;
    return { clock, follower, seen, restored };
  };

  // Guards against a process that stays behind until the store has passed the revisions that it lost.
  test('entries of a restored store replace those with higher revisions of the era before', async () => {
    const { clock, seen, restored } = await start(undefined);
    await clock.advance(100);
    expect(seen).toEqual(['old', 'new']);
    expect(restored).toEqual([inSecond(20)]);
  });

  // Guards against a member that answers with what it knew before the restore.
  test('a snapshot of the era before is not taken', async () => {
    const stale = { revision: inFirst(60), entries: [entry('k', 'stale', inFirst(60))] };
    const { clock, seen } = await start(stale);
    await clock.advance(100);
    expect(seen).toEqual(['old', 'new']);
  });

  // Guards against a member that has not heard of the restore and vouches for its entries.
  test('batches of the era before are ignored', async () => {
    const { clock, follower, seen } = await start(undefined);
    await clock.advance(100);
    const change = { kind: 'put', entry: entry('k', 'late', inFirst(51)) } as const;
    const batch = { prefix: 'k', after: inFirst(50), revision: inFirst(51), changes: [change] };
    follower.receive({ ...batch, ageMs: 0 }, 'peer');
    expect(seen).toEqual(['old', 'new']);
  });
});

describe('endpoints', () => {
  const leftAt = 40;

  const start = () => {
    const clock = VirtualClock.create();
    const directory = EndpointDirectory.create();
    const updater = EndpointDirectoryUpdater.create(
      'e/',
      ({ key, value }: Entry) =>
        ok(
          endpointRecord({
            id: key.slice('e/'.length),
            bornAt: 5,
            state: value.toString() === 'leaving' ? HostState.leaving : HostState.live,
          }),
        ),
      directory,
      NoopTelemetry.create(),
      clock,
    );
    const live = () => directory.live('s').map(({ id }) => id);
    return { clock, updater, live };
  };

  const restoredTo = (revision: number) => revisionInEra(1, revision);

  // Guards against an engine that is used again because the copy was made before it said that it leaves.
  test('an endpoint that was leaving stays so when an older entry says that it is live', () => {
    const { clock, updater, live } = start();
    updater.onListing([entry('e/1', 'leaving', 9)]);
    updater.storeRestored(restoredTo(7), clock.now());
    updater.onListing([entry('e/1', 'live', restoredTo(3))]);
    expect(live()).toEqual([]);
  });

  // Guards against an engine that has left and whose entry the copy brings back.
  test('the entry of an endpoint that had left is not trusted until it lapses or is written again', async () => {
    const { clock, updater, live } = start();
    updater.onListing([entry('e/1', 'live', 9), entry('e/2', 'live', 9)]);
    ['e/1', 'e/2'].forEach((key) => updater.onChange({ kind: 'removed', key, revision: leftAt }));
    updater.storeRestored(restoredTo(7), clock.now());
    updater.onListing([entry('e/1', 'live', restoredTo(3)), entry('e/2', 'live', restoredTo(3))]);
    expect(live()).toEqual([]);
    updater.onChange({ kind: 'put', entry: entry('e/1', 'live', restoredTo(8)) });
    expect(live()).toEqual(['1']);
    await clock.advance(11_000);
    expect(live()).toEqual(['1', '2']);
  });

  // Guards against dropping an engine that registered after the copy was made.
  test('an endpoint whose entry is missing from the copy has a moment to write it again', async () => {
    const { clock, updater, live } = start();
    updater.onListing([entry('e/1', 'live', 9), entry('e/2', 'live', 9)]);
    updater.storeRestored(restoredTo(7), clock.now());
    updater.onListing([]);
    expect(live()).toEqual(['1', '2']);
    updater.onChange({ kind: 'put', entry: entry('e/1', 'live', restoredTo(8)) });
    await clock.advance(2_500);
    expect(live()).toEqual(['1']);
  });
});

describe('configurations', () => {
  const decode = (value: Uint8Array) => {
    const [version, name] = Buffer.from(value).toString().split(' ');
    return ok({ version: Number(version), routes: [{ name }] } as unknown as Configuration);
  };

  // Guards against a change that is taken back because the copy holds an older version, and against one
  // that is ignored because the operator gives its version out again.
  test('an older version is ignored, the same one with later contents applies', () => {
    const holder = ConfigurationHolder.create('c', decode, NoopTelemetry.create());
    const steps = [
      entry('c', '16 a', revisionInEra(1, 90)),
      entry('c', '13 b', revisionInEra(2, 40)),
      entry('c', '16 a', revisionInEra(2, 50)),
      entry('c', '16 c', revisionInEra(2, 60)),
      entry('c', '16 d', revisionInEra(1, 95)),
    ];
    const seen = steps.map((one) => {
      holder.onListing([one]);
      const { version, routes } = holder.configuration ?? { version: 0, routes: [{ name: '' }] };
      return `${version} ${routes[0].name}`;
    });
    expect(seen).toEqual(['16 a', '16 a', '16 a', '16 c', '16 c']);
  });
});
