import { type Entry, hash32, NoopTelemetry, SeededRandom } from '@currantdrift/core';
import { MemoryPrefixStore, PrefixStoreHandle, VirtualClock } from '@currantdrift/fakes';
import { CrashLedger, CrashWatch, EngineState, type Quarantine } from '@currantdrift/quarantine';
import { daemonPrefix } from '../src/version/members';
import { StoredQuarantines } from '../src/version/stored-quarantines';

const quarantine: Quarantine = { service: 's', parts: ['d'], crashes: ['e1@1', 'e2@1'] };

/** Parts that have the same 32-bit hash together with the service `s`. */
const collidingParts = ['part-e10622ae56a7', 'part-add6ae1c6a76'] as const;

/** One process with its store; `read` lets it read the store as its follower does. */
const start = (clock: VirtualClock, store: MemoryPrefixStore) => {
  const random = SeededRandom.create(1);
  const telemetry = NoopTelemetry.create();
  const ledger = CrashLedger.create(random);
  const handle = PrefixStoreHandle.create(store, clock);
  const watch = CrashWatch.create({
    clock,
    random,
    telemetry,
    ledger,
    probe: async () => EngineState.unknown,
    publishCrash: () => {},
    publishCleared: () => {},
    members: () => 8,
  });
  const stored = StoredQuarantines.create({
    store: handle,
    clock,
    random,
    telemetry,
    ledger,
    watch: () => watch,
    members: () => 8,
  });
  stored.run(new AbortController().signal).catch(() => {});
  const read = () => stored.onListing(store.below(daemonPrefix));
  const request = { service: 's', promptParts: ['a', 'd', 'p'], digest: 'r1' };
  const holdsBack = () => watch.find(request, clock.now()) !== undefined;
  return { handle, ledger, read, stored, holdsBack };
};

const setUp = () => {
  const clock = VirtualClock.create();
  const store = MemoryPrefixStore.create(clock);
  const keys = () => store.below(daemonPrefix).map(({ key }: Entry) => key);
  return { clock, store, keys, first: start(clock, store) };
};

// Guards against a restarted process that sends prompts which crash engines once more.
test('a process that starts later holds back what is in the store', async () => {
  const { clock, store, first } = setUp();
  first.ledger.adopt(quarantine, clock.now());
  first.stored.begin(quarantine, true);
  await clock.advance(500);
  const later = start(clock, store);
  expect(later.holdsBack()).toBe(false);
  later.read();
  expect(later.holdsBack()).toBe(true);
});

// Guards against hundreds of processes that write the same entry at once.
test('a process without a part in the decision writes only what nobody else has written', async () => {
  const { clock, store, first, keys } = setUp();
  first.ledger.adopt(quarantine, clock.now());
  await clock.advance(1_000);
  expect(keys()).toEqual([]);
  await clock.advance(2_000);
  expect(keys().length).toBe(1);
  const other = start(clock, store);
  other.read();
  const before = store.revision;
  await clock.advance(10_000);
  expect(store.revision).toBe(before);
});

// Guards against a quarantine that ends because the store has lost its entry.
test('an entry that vanishes with a restore is written again', async () => {
  const { clock, store, first, keys } = setUp();
  const copy = store.copy();
  first.ledger.adopt(quarantine, clock.now());
  first.stored.begin(quarantine, true);
  await clock.advance(500);
  store.restore(copy);
  first.read();
  expect([keys().length, first.holdsBack()]).toEqual([0, true]);
  await clock.advance(3_000);
  expect(keys().length).toBe(1);
});

test('a write that fails is repeated', async () => {
  const { clock, first, keys } = setUp();
  first.handle.cut = true;
  first.ledger.adopt(quarantine, clock.now());
  first.stored.begin(quarantine, true);
  await clock.advance(5_000);
  expect(keys()).toEqual([]);
  first.handle.cut = false;
  await clock.advance(5_000);
  expect(keys().length).toBe(1);
});

test('the entry of a quarantine that an answer has ended is removed', async () => {
  const { clock, first, keys } = setUp();
  first.ledger.adopt(quarantine, clock.now());
  first.stored.begin(quarantine, true);
  await clock.advance(500);
  first.read();
  first.ledger.recordCleared({ service: 's', parts: ['d'] }, clock.now());
  await clock.settle(first.stored.end(quarantine));
  expect(keys()).toEqual([]);
});

test('an entry that cannot be read is left alone', () => {
  const { store, first } = setUp();
  store.write(`${daemonPrefix}quarantine/x`, Buffer.from('{'));
  store.write(`${daemonPrefix}quarantine/y`, Buffer.from('{"service":"s","parts":[]}'));
  first.read();
  expect(first.holdsBack()).toBe(false);
});

// Guards against two quarantines under one key, of which a process that starts later learns only one: the
// names of these parts have the same 32-bit hash.
test('quarantines whose names have the same short hash are both kept', async () => {
  const { clock, store, first } = setUp();
  const hashes = collidingParts.map((part) => hash32(`s\u0000${part}`));
  expect(hashes[0]).toBe(hashes[1]);
  collidingParts.forEach((part) => {
    const found = { ...quarantine, parts: [part] };
    first.ledger.adopt(found, clock.now());
    first.stored.begin(found, true);
  });
  await clock.advance(1_000);
  const later = start(clock, store);
  later.read();
  const held = later.ledger.active(clock.now()).flatMap(({ parts }) => parts);
  expect(new Set(held)).toEqual(new Set(collidingParts));
});
