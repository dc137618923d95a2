// Guards against processes that go back to an older bundle, stay behind, or have content other than
// what was accepted, whatever the order and loss of messages.
import { type Bundle, SeededRandom } from '@currantdrift/core';
import { MemoryStore, StoreHandle, VirtualClock } from '@currantdrift/fakes';
import fc from 'fast-check';
import { BundleRelay, makeDelta, Rollout } from '../src';
import {
  callerOf,
  daemon,
  firstBundle,
  InMemoryLinks,
  next,
  seed,
  signed,
  trusted,
} from './support';

const versions = (count: number): Bundle[] => {
  const bundles = [firstBundle(6)];
  while (bundles.length < count) {
    const before = bundles[bundles.length - 1];
    const callers = [callerOf(bundles.length), callerOf(bundles.length + 1)];
    bundles.push(next(before, { callers, adapters: before.adapters.slice(0, bundles.length % 7) }));
  }
  return bundles;
};
const history = versions(45);
const signedHistory = history.map((bundle) => signed(bundle));
const deltas = history
  .slice(1)
  .map((_, index) => makeDelta(history[index], signedHistory[index + 1]));

type Arrival = readonly [kind: 'whole' | 'deltas', from: number, to: number];
const arrivals: fc.Arbitrary<Arrival[]> = fc.array(
  fc.tuple(fc.constantFrom('whole' as const, 'deltas' as const), fc.nat(44), fc.nat(44)),
  { maxLength: 25 },
);

/** Whole bundles and chains of deltas arrive at one process in any order, or not at all. */
const applyProperty = (monotone: boolean) =>
  fc.property(arrivals, (sequence) => {
    const clock = VirtualClock.create();
    const store = StoreHandle.create(MemoryStore.create(clock), clock);
    const { holder } = daemon('a', store, new InMemoryLinks(clock), { monotone });
    // The reference model tracks only the highest version that the process can have reached.
    let reference = 0;
    sequence.forEach(([kind, a, b]) => {
      const [from, to] = [Math.min(a, b), Math.max(a, b)];
      if (kind === 'whole') {
        holder.acceptBundle(signedHistory[to], 'peer');
        reference = Math.max(reference, to + 1);
      } else {
        holder.acceptDeltas(deltas.slice(from, to), 'peer');
        if (reference >= from + 1) reference = Math.max(reference, to + 1);
      }
      const expected = reference === 0 ? undefined : history[reference - 1];
      expect(holder.version).toBe(reference);
      expect(holder.current?.bundle).toEqual(expected);
    });
  });

test('any order and loss of bundles leaves a process at the highest version', () => {
  fc.assert(applyProperty(true), { seed, numRuns: 100 });
});

test('without the check that versions only increase a process goes back', () => {
  expect(() => fc.assert(applyProperty(false), { seed: 1, numRuns: 100 })).toThrow(
    /Property failed/,
  );
});

/**
 * Rolls out versions while daemons lose messages and access to the store; returns the version that
 * each daemon has at the end.
 */
const spread = async (count: number, lossPercent: number, outageMs: number, chaos: number) => {
  const clock = VirtualClock.create();
  const memory = MemoryStore.create(clock);
  const random = SeededRandom.create(chaos);
  const links = new InMemoryLinks(clock);
  links.loses = () => random.next() * 100 < lossPercent;
  links.delayMs = () => Math.floor(random.next() * 40);
  const stop = new AbortController();
  const daemons = ['a', 'b', 'c', 'd', 'e'].map((address) =>
    daemon(address, StoreHandle.create(memory, clock), links, { random }),
  );
  const highest = new Map<string, number>();
  daemons.forEach(({ address, holder }) =>
    holder.subscribe(({ version, bundle }) => {
      expect(version).toBeGreaterThan(highest.get(address) ?? 0);
      expect(bundle).toEqual(history[version - 1]);
      highest.set(address, version);
    }),
  );
  const tasks = daemons.slice(0, 2).map(({ store, reader, telemetry, exchange }) =>
    BundleRelay.create({
      store,
      reader,
      clock,
      random,
      telemetry,
      onStoreResponse: (now) => exchange.recordRelayContact(now),
    }).run(stop.signal),
  );
  // Simulates membership: each daemon announces its version to a random other daemon every second.
  const gossip = async () => {
    while (!stop.signal.aborted) {
      daemons.forEach(({ exchange }) => {
        const other = daemons[Math.floor(random.next() * daemons.length)];
        exchange.announce([other.address]);
      });
      await clock.sleep(1000, stop.signal);
    }
  };
  tasks.push(gossip(), ...daemons.map(({ exchange }) => exchange.run(stop.signal)));
  const operator = StoreHandle.create(memory, clock);
  const rollout = Rollout.create({ store: operator, clock, random, trusted });
  for (let index = 0; index < count; index += 1) {
    const cut = daemons[index % daemons.length].store as StoreHandle;
    cut.faults.down = true;
    await clock.settle(rollout.run(signedHistory[index], 'nino'));
    await clock.advance(outageMs);
    cut.faults.down = false;
  }
  links.loses = () => false;
  await clock.advance(8_000);
  stop.abort();
  await clock.settle(Promise.all(tasks));
  return daemons.map(({ holder }) => holder.version);
};

test('all processes reach the last version in 8 s and never go back', async () => {
  const runs = fc.asyncProperty(
    fc.integer({ min: 1, max: 9 }),
    fc.constantFrom(0, 20, 60, 100),
    fc.constantFrom(0, 300, 2_500),
    fc.nat(),
    async (count, loss, outageMs, chaos) => {
      expect(await spread(count, loss, outageMs, chaos)).toEqual(Array(5).fill(count));
    },
  );
  await fc.assert(runs, { seed, numRuns: 8 });
}, 60_000);

test('a new process takes the newest of its peers when the store is down', async () => {
  const clock = VirtualClock.create();
  const store = StoreHandle.create(MemoryStore.create(clock), clock);
  const links = new InMemoryLinks(clock);
  store.faults.down = true;
  [3, 40, 12].forEach((version, index) =>
    daemon(`peer-${index}`, store, links).holder.acceptBundle(signedHistory[version - 1], 'store'),
  );
  const fresh = daemon('fresh', store, links);
  const alone = await clock.settle(fresh.exchange.loadNewest([]));
  expect(alone._unsafeUnwrapErr().kind).toBe('refused');
  const found = await clock.settle(
    fresh.exchange.loadNewest(['peer-0', 'peer-1', 'none', 'peer-2']),
  );
  expect([found._unsafeUnwrap(), fresh.holder.current?.bundle]).toEqual([40, history[39]]);
});

test('a process that is one version behind is updated with less than 1500 bytes', async () => {
  const clock = VirtualClock.create();
  const store = StoreHandle.create(MemoryStore.create(clock), clock);
  const links = new InMemoryLinks(clock);
  const [ahead, behind] = [daemon('ahead', store, links), daemon('behind', store, links)];
  [ahead, behind].forEach(({ holder }) => holder.acceptBundle(signedHistory[10], 'store'));
  ahead.holder.acceptDeltas([deltas[10]], 'store')._unsafeUnwrap();
  behind.exchange.observeVersion(12, 'ahead', clock.now());
  await clock.advance(100);
  expect(behind.holder.version).toBe(12);
  expect(links.bytes).toBeLessThan(1500);
});

test('a process that is more than 32 versions behind loads the whole bundle', async () => {
  const clock = VirtualClock.create();
  const store = StoreHandle.create(MemoryStore.create(clock), clock);
  const links = new InMemoryLinks(clock);
  const [ahead, behind] = [daemon('ahead', store, links), daemon('behind', store, links)];
  [ahead, behind].forEach(({ holder }) => holder.acceptBundle(signedHistory[4], 'store'));
  ahead.holder.acceptDeltas(deltas.slice(4), 'store')._unsafeUnwrap();
  const { version, digest } = behind.holder.current ?? { version: 0, digest: '' };
  expect(ahead.holder.deltasSince(version, digest)).toBeUndefined();
  behind.exchange.observeVersion(45, 'ahead', clock.now());
  await clock.advance(100);
  expect(behind.holder.current?.bundle).toEqual(history[44]);
});

test('a process reads the store itself only without contact to a relay', async () => {
  const clock = VirtualClock.create();
  const memory = MemoryStore.create(clock);
  const store = StoreHandle.create(memory, clock);
  const { exchange, holder } = daemon('a', store, new InMemoryLinks(clock));
  const rollout = Rollout.create({ store, clock, random: SeededRandom.create(1), trusted });
  await clock.settle(rollout.run(signedHistory[0], 'nino'));
  memory.calls.clear();
  const stop = new AbortController();
  const running = exchange.run(stop.signal);
  for (let second = 0; second < 10; second += 1) {
    exchange.recordRelayContact(clock.now());
    await clock.advance(1_000);
  }
  expect([memory.calls.size, holder.version]).toEqual([0, 0]);
  await clock.advance(5_000);
  expect(holder.version).toBe(1);
  stop.abort();
  await running;
});
