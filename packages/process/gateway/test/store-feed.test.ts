import { type Change, type Entry, NoopTelemetry } from '@currantdrift/core';
import { MemoryPrefixStore, PrefixStoreHandle, VirtualClock } from '@currantdrift/fakes';
import { PrefixFollower } from '../src/process/prefix-follower';
import { Registration } from '../src/process/registration';
import { StoreFeed } from '../src/process/store-feed';
import { freshnessLimits } from '../src/version/freshness';
import { memberPrefix, Members, daemonPrefix } from '../src/version/members';
import { relaysOf } from '../src/version/relays';
import { watcherCount } from '../src/version/watchers';

/** Records the entries below a prefix. */
class RecordedEntries {
  readonly values = new Map<string, string>();

  onListing(entries: readonly Entry[]): void {
    this.values.clear();
    entries.forEach(({ key, value }) => this.values.set(key, Buffer.from(value).toString()));
  }

  onChange(change: Change): void {
    if (change.kind === 'removed') this.values.delete(change.key);
    else this.values.set(change.entry.key, Buffer.from(change.entry.value).toString());
  }
}

const dataPrefix = 'data/';
const propagationLimitMs = 2_500;
const limits = freshnessLimits(propagationLimitMs);

/** Starts members that share one store and send each other the changes that they read. */
const startMembers = async (count: number, domains = 1) => {
  const clock = VirtualClock.create();
  const store = MemoryPrefixStore.create(clock);
  const telemetry = NoopTelemetry.create();
  const feeds = new Map<string, StoreFeed>();
  const silent = new Set<string>();
  /** Members that have taken a gap for an outage of the store. */
  const recovered = new Set<string>();
  const neverAborted = new AbortController().signal;
  const start = (index: number) => {
    const host = `h${index}`;
    const handle = PrefixStoreHandle.create(store, clock);
    const members = Members.create(telemetry, clock);
    const entries = new RecordedEntries();
    const self = { host, address: host, domain: `d${index % domains}`, processors: 1 };
    const feed = StoreFeed.create({
      clock,
      telemetry,
      self,
      members,
      limits,
      random: { next: () => index / count },
      requestEntries: async (address, prefix) =>
        silent.has(address) ? undefined : feeds.get(address)?.entriesFor(prefix),
      send: (address, message) => {
        if (!silent.has(host) && !silent.has(address)) feeds.get(address)?.receive(message);
      },
    });
    feeds.set(host, feed);
    const random = { next: () => (index + 1) / (count + 1) };
    const followers = [
      { prefix: daemonPrefix, listener: members, startsFromFeed: false },
      { prefix: dataPrefix, listener: entries, startsFromFeed: true },
    ];
    followers.forEach((each) => {
      const common = { store: handle, clock, random, telemetry, feed, pauseMs: 100, limits };
      const onStoreRecovery = () => recovered.add(host);
      const follower = PrefixFollower.create({ ...common, ...each, onStoreRecovery });
      feed.attach(each.prefix, follower);
      follower.run(neverAborted).catch(() => {});
    });
    feed.run(neverAborted).catch(() => {});
    const isWatcher = () => feed.isWatcher();
    Registration.create({ store: handle, clock, telemetry, member: self })
      .run(neverAborted)
      .catch(() => {});
    return { host, self, handle, entries, feed, isWatcher };
  };
  const processes = Array.from({ length: count }, (_, index) => start(index));
  await clock.advance(5_000);
  const write = (key: string, value: string) => store.write(dataPrefix + key, Buffer.from(value));
  const values = (key: string) =>
    processes.map(({ entries }) => entries.values.get(dataPrefix + key));
  const watchers = processes.filter(({ isWatcher }) => isWatcher());
  const others = processes.filter(({ isWatcher }) => !isWatcher());
  const isRelay = ({ self }: (typeof processes)[number]) =>
    relaysOf(
      processes.map((each) => each.self),
      self.domain,
    ).includes(self);
  const relays = others.filter(isRelay);
  const reads = () =>
    others.map(
      ({ handle }) => (handle.calls.get('changes') ?? 0) + (handle.calls.get('listing') ?? 0),
    );
  return {
    clock,
    store,
    start,
    processes,
    watchers,
    relays,
    others,
    silent,
    recovered,
    write,
    values,
    reads,
  };
};

const repeated = (count: number, value: string) => Array.from({ length: count }, () => value);

describe('many members that follow the same changes', () => {
  // Guards against store calls that grow with the number of daemons.
  test('only the watchers call the store, and all members get the changes', async () => {
    const { clock, watchers, write, values, reads } = await startMembers(12);
    expect(watchers).toHaveLength(watcherCount);
    const before = reads();
    for (let step = 0; step < 20; step += 1) {
      write('a', `${step}`);
      await clock.advance(300);
      expect(values('a')).toEqual(repeated(12, `${step}`));
    }
    expect(reads()).toEqual(before);
  });

  // Guards against store calls that grow with the number of failure domains.
  test('two members of different domains call the store for all domains', async () => {
    const { clock, watchers, write, values, reads } = await startMembers(24, 6);
    expect(watchers).toHaveLength(watcherCount);
    expect(new Set(watchers.map(({ self }) => self.domain)).size).toBe(2);
    const before = reads();
    for (let step = 0; step < 20; step += 1) {
      write('a', `${step}`);
      await clock.advance(300);
      expect(values('a')).toEqual(repeated(24, `${step}`));
    }
    expect(reads()).toEqual(before);
  });

  // Guards against a domain that gets no changes because one of its relays is down.
  test('a domain gets changes from its other relay', async () => {
    const { clock, relays, silent, write, processes, others, values, reads } = await startMembers(
      24,
      4,
    );
    const [lost] = relays;
    silent.add(lost.host);
    const readsOfOthers = () => reads().filter((_, index) => others[index] !== lost);
    const before = readsOfOthers();
    write('a', 'new');
    await clock.advance(600);
    const reachable = processes.filter(({ host }) => !silent.has(host));
    expect(reachable.map(({ entries }) => entries.values.get(`${dataPrefix}a`))).toEqual(
      repeated(23, 'new'),
    );
    expect(readsOfOthers()).toEqual(before);
    // The lost relay gets no batches, so it reads the store itself.
    await clock.advance(propagationLimitMs - 600);
    expect(values('a')).toEqual(repeated(24, 'new'));
  });

  // Guards against all daemons calling the store at the same time when the watchers are down.
  test('without watchers the relays call the store for the others', async () => {
    const { clock, watchers, relays, silent, write, values, reads } = await startMembers(40, 4);
    watchers.forEach(({ host }) => silent.add(host));
    const before = reads();
    const increasedReads = () => reads().filter((count, index) => count > before[index]);
    await clock.advance(1_800);
    write('a', 'new');
    await clock.advance(600);
    expect(values('a').filter((value) => value === 'new').length).toBeGreaterThanOrEqual(38);
    expect(increasedReads().length).toBeLessThanOrEqual(relays.length);
  });

  // Guards against a store that cannot recover because the whole fleet retries.
  test('during a store outage there are few calls, and all members notice its end', async () => {
    const { clock, processes, write, values, reads } = await startMembers(40, 4);
    await clock.advance(20_000);
    const cut = (isCut: boolean) =>
      processes.forEach(({ handle }) => Object.assign(handle, { cut: isCut }));
    const total = () => reads().reduce((sum, count) => sum + count, 0);
    const before = total();
    cut(true);
    await clock.advance(10_000);
    const callsPerSecond = (total() - before) / 10;
    // Without the limit, each of the two prefixes would be read 1.6 times a second.
    expect(callsPerSecond).toBeLessThan(40);
    cut(false);
    write('a', 'new');
    await clock.advance(3_000);
    expect(values('a')).toEqual(repeated(40, 'new'));
  });

  // Guards against members that continue with stale entries because their watchers are down.
  test('members whose watchers stop sending call the store themselves', async () => {
    const { clock, watchers, silent, write, values, others } = await startMembers(8);
    watchers.forEach(({ host }) => silent.add(host));
    await clock.advance(100);
    write('a', 'new');
    await clock.advance(2_000);
    expect(values('a')).toEqual(repeated(8, 'new'));
    silent.clear();
    await clock.advance(3_000);
    expect(others.every(({ feed }) => feed.isFeedCurrent(clock.now()))).toBe(true);
  });

  // Guards against watchers that are partitioned from the store and still count as current.
  test('members whose watchers are partitioned from the store call it themselves', async () => {
    const { clock, watchers, write, others } = await startMembers(8);
    watchers.forEach(({ handle }) => Object.assign(handle, { cut: true }));
    await clock.advance(100);
    write('a', 'new');
    await clock.advance(2_300);
    const known = others.map(({ entries }) => entries.values.get(`${dataPrefix}a`));
    expect(known).toEqual(repeated(6, 'new'));
  });

  // Guards against treating any response of the store as a successful read of every prefix.
  test('members get a change below a prefix that their watchers cannot read', async () => {
    const { clock, watchers, write, values } = await startMembers(12);
    await clock.advance(20_000);
    watchers.forEach(({ handle }) => handle.unreadable.add(dataPrefix));
    write('a', 'new');
    await clock.advance(propagationLimitMs);
    expect(values('a')).toEqual(repeated(12, 'new'));
  });

  // Guards against long polls of the store that last longer than the propagation limit.
  test('members get a change while the long polls of their watchers get no response', async () => {
    const { clock, watchers, others, write } = await startMembers(12);
    await clock.advance(20_000);
    watchers.forEach(({ handle }) => Object.assign(handle, { hasSilentWaits: true }));
    write('a', 'new');
    await clock.advance(propagationLimitMs);
    const known = others.map(({ entries }) => entries.values.get(`${dataPrefix}a`));
    expect(known).toEqual(repeated(10, 'new'));
  });

  // Guards against a watcher that the store refuses and that gets no batches from its peers.
  test('a watcher that cannot read the store gets changes from other members', async () => {
    const { clock, watchers, write, values } = await startMembers(12, 3);
    await clock.advance(20_000);
    Object.assign(watchers[0].handle, { cut: true });
    await clock.advance(1_000);
    write('a', 'new');
    await clock.advance(1_000);
    expect(values('a')).toEqual(repeated(12, 'new'));
  });

  // Guards against a process that starts with stale entries of a member which cannot read the store.
  test('a starting member gets no entries that were not confirmed recently', async () => {
    const { clock, start, relays, watchers, write } = await startMembers(12);
    write('a', 'old');
    await clock.advance(20_000);
    [...watchers, ...relays].forEach(({ handle }) => handle.unreadable.add(dataPrefix));
    write('a', 'new');
    await clock.advance(4_000);
    const restarted = start(11);
    await clock.advance(6_000);
    expect(restarted.entries.values.get(`${dataPrefix}a`)).toBe('new');
  });

  // Guards against members that the store refuses, or that are stopping, and that serve stale entries.
  test('a member whose key was removed still gets changes for a while', async () => {
    const { clock, store, others, write } = await startMembers(12, 2);
    const [refusedMember] = others;
    Object.assign(refusedMember.handle, { cut: true });
    store.write(memberPrefix + refusedMember.host, undefined);
    await clock.advance(500);
    write('a', 'new');
    await clock.advance(500);
    expect(refusedMember.entries.values.get(`${dataPrefix}a`)).toBe('new');
    await clock.advance(12_000);
    write('a', 'newer');
    await clock.advance(500);
    expect(refusedMember.entries.values.get(`${dataPrefix}a`)).toBe('new');
  });

  // Guards against a failure domain that gets no changes because the store refuses all its members.
  test('a domain whose keys were all removed still gets changes', async () => {
    const { clock, store, processes, write, values } = await startMembers(12, 3);
    processes
      .filter(({ self }) => self.domain === 'd1')
      .forEach(({ host, handle }) => {
        Object.assign(handle, { cut: true });
        store.write(memberPrefix + host, undefined);
      });
    await clock.advance(1_500);
    write('a', 'new');
    await clock.advance(1_000);
    expect(values('a')).toEqual(repeated(12, 'new'));
  });

  // Guards against a lost message between members that goes unnoticed.
  test('a member that missed a batch reads it from the store', async () => {
    const { clock, others, silent, write, values } = await startMembers(5);
    silent.add(others[0].host);
    write('a', 'missed');
    await clock.advance(300);
    silent.clear();
    write('b', 'heard');
    await clock.advance(800);
    expect(values('a')).toEqual(repeated(5, 'missed'));
    expect(values('b')).toEqual(repeated(5, 'heard'));
  });

  // Guards against a large configuration that crosses the link to the store once per daemon.
  test('a starting member gets all entries from a watcher', async () => {
    const { clock, start, write } = await startMembers(8);
    write('a', 'large');
    await clock.advance(500);
    const restarted = start(7);
    await clock.advance(1_000);
    expect(restarted.entries.values.get(`${dataPrefix}a`)).toBe('large');
    // Only the member entries are read from the store.
    expect(restarted.handle.calls.get('listing')).toBe(1);
  });

  // Guards against a member that cannot start because its watchers are down.
  test('a member that starts without reachable watchers reads the store', async () => {
    const { clock, start, watchers, silent, write } = await startMembers(8);
    watchers.forEach(({ host }) => silent.add(host));
    write('a', 'new');
    const restarted = start(7);
    await clock.advance(5_000);
    expect(restarted.entries.values.get(`${dataPrefix}a`)).toBe('new');
  });

  // Guards against members that get a change seconds late because the watchers read it in a new listing.
  test('changes that a watcher finds in a new listing reach the others at once', async () => {
    const { clock, store, write, values, reads } = await startMembers(24, 6);
    write('a', 'old');
    write('b', 'old');
    // Long polls that members began before the feed was current end in this time.
    await clock.advance(20_000);
    const before = reads();
    write('a', 'new');
    store.write(`${dataPrefix}b`, undefined);
    store.compact();
    await clock.advance(800);
    expect(values('a')).toEqual(repeated(24, 'new'));
    expect(values('b')).toEqual(Array.from({ length: 24 }, () => undefined));
    expect(reads()).toEqual(before);
  });

  // Guards against followers that keep entries whose removal was lost in a compaction.
  test('members list the entries again after the store compacted its history', async () => {
    const { clock, store, watchers, others, write, values } = await startMembers(6);
    write('a', 'old');
    await clock.advance(500);
    watchers.forEach(({ handle }) => Object.assign(handle, { cut: true }));
    await clock.advance(50);
    store.write(`${dataPrefix}a`, undefined);
    write('b', 'kept');
    store.compact();
    await clock.advance(2_300);
    watchers.forEach(({ handle }) => Object.assign(handle, { cut: false }));
    await clock.advance(4_000);
    expect(values('a')).toEqual(Array.from({ length: 6 }, () => undefined));
    expect(values('b')).toEqual(repeated(6, 'kept'));
    expect(others.every(({ feed }) => feed.isFeedCurrent(clock.now()))).toBe(true);
  });

  // Guards against members that take the end of those which read for them for an outage of the store.
  test.each([
    ['both watchers', false],
    ['all watchers and relays', true],
  ])(
    'a removal is known in time when %s have ended, and no outage is seen',
    async (_, includesRelays) => {
      const { clock, store, processes, watchers, relays, silent, recovered, write } =
        await startMembers(24, 3);
      write('a', 'old');
      await clock.advance(20_000);
      const ended = includesRelays ? [...watchers, ...relays] : watchers;
      ended.forEach(({ host, handle }) => {
        silent.add(host);
        Object.assign(handle, { cut: true });
      });
      store.write(`${dataPrefix}a`, undefined);
      await clock.advance(propagationLimitMs);
      const others = processes.filter((each) => !ended.includes(each));
      expect(others.map(({ entries }) => entries.values.size)).toEqual(others.map(() => 0));
      expect(others.filter(({ host }) => recovered.has(host)).map(({ host }) => host)).toEqual([]);
    },
  );

  // What that must not cost: an outage is seen by all members, also by those that the feed tells of its end.
  test('all members see an outage of the store', async () => {
    const { clock, processes, recovered } = await startMembers(24, 3);
    await clock.advance(20_000);
    const setCut = (cut: boolean) =>
      processes.forEach(({ handle }) => Object.assign(handle, { cut }));
    setCut(true);
    await clock.advance(4_000);
    setCut(false);
    await clock.advance(4_000);
    expect(recovered.size).toBe(24);
  });
});
