import { NoopTelemetry } from '@currantdrift/core';
import { MemoryPrefixStore, PrefixStoreHandle, VirtualClock } from '@currantdrift/fakes';
import {
  ControllerElection,
  type Resignation,
  type Term,
} from '../src/process/controller-election';
import { PrefixFollower } from '../src/process/prefix-follower';
import { freshnessLimits } from '../src/version/freshness';
import { Members, daemonPrefix } from '../src/version/members';
import { noFeed } from './no-feed';

const holderPauseMs = 3_000;

interface Process {
  readonly host: string;
  readonly store: PrefixStoreHandle;
  readonly election: ControllerElection;
  readonly begunTerms: Term[];
  readonly stop: AbortController;
  /** Difference between the time of day and the steady clock, in ms. */
  offsetMs: number;
}

/** Starts processes that take part in the controller election through the same store. */
const startProcesses = (hosts: readonly string[], firstStart = false) => {
  const clock = VirtualClock.create();
  const store = MemoryPrefixStore.create(clock);
  const processes: Process[] = [];
  const broadcastResignation = (from: string, message: Resignation) =>
    processes
      .filter(({ host, store: handle }) => host !== from && !handle.deaf)
      .forEach(({ election }) => election.receiveResignation(message));
  hosts.forEach((host, rank) => {
    const handle = PrefixStoreHandle.create(store, clock);
    const telemetry = NoopTelemetry.create();
    const members = Members.create(telemetry, clock);
    const begunTerms: Term[] = [];
    const process: Process = {
      host,
      store: handle,
      begunTerms,
      stop: new AbortController(),
      offsetMs: 0,
      election: ControllerElection.create({
        store: handle,
        clock,
        timeOfDay: () => clock.now() + process.offsetMs,
        telemetry,
        self: { host, address: host, domain: 'north', processors: 1 },
        members,
        holderPauseMs,
        firstStart,
        rank: () => rank,
        onBegin: (term) => begunTerms.push(term),
        onEnd: (fence) => broadcastResignation(host, { fence, orderAges: { e1: 1_000 } }),
      }),
    };
    processes.push(process);
    const follower = PrefixFollower.create({
      store: handle,
      clock,
      random: { next: () => 0.5 },
      telemetry,
      prefix: daemonPrefix,
      listener: members,
      pauseMs: 20,
      limits: freshnessLimits(2_500),
      feed: noFeed(),
      startsFromFeed: false,
    });
    follower.run(process.stop.signal).catch(() => {});
    process.election.run(process.stop.signal).catch(() => {});
  });
  const controllers = () =>
    processes.filter(({ election }) => election.mayOrder(clock.now())).map(({ host }) => host);
  return { clock, store, processes, controllers };
};

/** Advances in small steps; fails if two processes may send orders at the same time. */
const advanceChecked = async (
  { clock, controllers }: ReturnType<typeof startProcesses>,
  ms: number,
) => {
  const seen = new Set<string>();
  for (let passed = 0; passed < ms; passed += 20) {
    await clock.advance(20);
    const now = controllers();
    now.forEach((host) => seen.add(host));
    expect(now.length).toBeLessThanOrEqual(1);
  }
  return [...seen];
};

const earliestOrderAt = ({ begunTerms }: Process, endpoint: string) =>
  begunTerms[0].earliestOrderAt(endpoint);

// Guards against two controllers at a time, and against a deployment without one.
test('one process is elected controller and remains it', async () => {
  const all = startProcesses(['a', 'b', 'c'], true);
  expect(await advanceChecked(all, 20_000)).toEqual(['a']);
  expect(earliestOrderAt(all.processes[0], 'e1')).toBeLessThan(1_000);
});

// Guards against orders of a controller that is partitioned from the store.
test('a partitioned controller ends its term before another begins', async () => {
  const all = startProcesses(['a', 'b']);
  await advanceChecked(all, 8_000);
  const [a, b] = all.processes;
  a.store.cut = true;
  const seen = await advanceChecked(all, 8_000);
  expect(seen).toEqual(['a', 'b']);
  expect(b.begunTerms[0].fence).toBeGreaterThan(a.begunTerms[0].fence);
});

// Guards against orders of two controllers within the handover pause when a live one loses its key.
test('a successor waits until its predecessor can no longer send orders', async () => {
  const all = startProcesses(['a', 'b']);
  await advanceChecked(all, 8_000);
  const [a, b] = all.processes;
  a.store.cut = true;
  a.store.deaf = true;
  // The predecessor's resignation does not reach the successor.
  b.election.receiveResignation = () => {};
  all.store.revokeAll();
  const revokedAt = all.clock.now();
  // Both terms are considered valid for a while: only the pause keeps their orders apart.
  await all.clock.advance(1_000);
  expect(b.begunTerms).toHaveLength(1);
  let endedAt = all.clock.now();
  while (a.election.mayOrder(endedAt)) {
    await all.clock.advance(20);
    endedAt = all.clock.now();
  }
  expect(earliestOrderAt(b, 'e1')).toBeGreaterThanOrEqual(endedAt + holderPauseMs);
  expect(earliestOrderAt(b, 'e1')).toBeLessThan(revokedAt + 6_000);
});

// Guards against seconds without orders at each planned stop.
test('after a resignation, the successor need not wait for engines that had no order', async () => {
  const all = startProcesses(['a', 'b']);
  await advanceChecked(all, 8_000);
  const [a, b] = all.processes;
  a.stop.abort();
  await all.clock.advance(1_000);
  expect(b.begunTerms).toHaveLength(1);
  expect(earliestOrderAt(b, 'e2')).toBeLessThanOrEqual(all.clock.now());
  // The predecessor's last order to this engine was a second before the end of its term.
  expect(earliestOrderAt(b, 'e1') - all.clock.now()).toBeGreaterThan(500);
});

// Guards against orders after a suspension during which the term has ended.
test('after a possible suspension, no orders are sent until the store confirms the term', async () => {
  const all = startProcesses(['a', 'b']);
  await advanceChecked(all, 8_000);
  const [a] = all.processes;
  expect(a.election.mayOrder(all.clock.now())).toBe(true);
  a.offsetMs += 6_000;
  expect(a.election.mayOrder(all.clock.now())).toBe(false);
  await all.clock.advance(1_000);
  expect(a.election.mayOrder(all.clock.now())).toBe(true);
  a.offsetMs += 6_000;
  all.store.revokeAll();
  expect(a.election.mayOrder(all.clock.now())).toBe(false);
  await all.clock.advance(3_000);
  expect(a.election.mayOrder(all.clock.now())).toBe(false);
});

// Guards against seconds without orders after a store outage in which no process could be elected.
test('a term whose key outlives a store outage is resumed at once', async () => {
  const all = startProcesses(['a', 'b']);
  await advanceChecked(all, 8_000);
  const [a, b] = all.processes;
  const cut = (value: boolean) =>
    all.processes.forEach(({ store }) => {
      const handle = store;
      handle.cut = value;
    });
  cut(true);
  all.store.extendLeases(5_000);
  await advanceChecked(all, 4_500);
  expect(all.controllers()).toEqual([]);
  cut(false);
  await advanceChecked(all, 2_000);
  expect(all.controllers()).toEqual(['a']);
  expect(b.begunTerms).toHaveLength(0);
  expect(a.begunTerms[1].fence).toBeGreaterThan(a.begunTerms[0].fence);
  expect(a.begunTerms[1].earliestOrderAt('e1')).toBeLessThanOrEqual(all.clock.now());
});

// Guards against resuming a term after another process has been the controller.
test('an expired term is not resumed once its key is gone', async () => {
  const all = startProcesses(['a', 'b']);
  await advanceChecked(all, 8_000);
  const [a, b] = all.processes;
  a.store.cut = true;
  await advanceChecked(all, 4_000);
  a.store.cut = false;
  await advanceChecked(all, 6_000);
  expect(all.controllers()).toEqual(['b']);
  expect([a.begunTerms.length, b.begunTerms.length]).toEqual([1, 1]);
});

// Guards against a key that was written without the process knowing, which blocks the election.
test('a key whose creation got no response is found again or revoked', async () => {
  const all = startProcesses(['a', 'b']);
  all.processes.forEach(({ store }) => {
    const handle = store;
    handle.deaf = true;
  });
  await advanceChecked(all, 4_000);
  all.processes.forEach(({ store }) => {
    const handle = store;
    handle.deaf = false;
  });
  const seen = await advanceChecked(all, 12_000);
  expect(seen.length).toBeGreaterThan(0);
});

// Guards against seconds without orders after a restore in which nobody else was the controller, and
// against fencing tokens that fall.
test('a controller whose key is in the copy of a restored store resumes its term at once', async () => {
  const all = startProcesses(['a', 'b']);
  await advanceChecked(all, 8_000);
  const [a, b] = all.processes;
  const copy = all.store.copy();
  for (let index = 0; index < 50; index += 1) all.store.write('other', Buffer.from(`${index}`));
  await advanceChecked(all, 2_000);
  all.store.restore(copy);
  expect(await advanceChecked(all, 1_000)).toEqual(['a']);
  expect(a.begunTerms.length).toBe(2);
  expect(a.begunTerms[1].fence).toBeGreaterThan(a.begunTerms[0].fence);
  expect(a.begunTerms[1].earliestOrderAt('e1')).toBeLessThanOrEqual(all.clock.now());
  expect(await advanceChecked(all, 5_000)).toEqual(['a']);
  expect([a, b].map(({ begunTerms }) => begunTerms.length)).toEqual([2, 0]);
});

// Guards against an earlier controller that takes its key in the copy for its present term.
test('a controller that was succeeded after the copy was made does not resume its term', async () => {
  const all = startProcesses(['a', 'b']);
  await advanceChecked(all, 8_000);
  const [a, b] = all.processes;
  const copy = all.store.copy();
  a.store.cut = true;
  await advanceChecked(all, 6_000);
  expect(b.begunTerms.length).toBe(1);
  all.store.restore(copy);
  const restoredAt = all.clock.now();
  a.store.cut = false;
  await advanceChecked(all, 10_000);
  const later = [...a.begunTerms.slice(1), ...b.begunTerms.slice(1)];
  expect(later.length).toBeGreaterThan(0);
  later.forEach(({ fence, earliestOrderAt: earliest }) => {
    expect(fence).toBeGreaterThan(b.begunTerms[0].fence);
    expect(earliest('e2') - restoredAt).toBeGreaterThanOrEqual(holderPauseMs);
  });
});
