import { SeededRandom } from '@currantdrift/core';
import { FixedTtl } from '../src';
import { bundleOf, domain, type Member, model, World } from './harness';

const started = async (
  engines: Record<string, boolean>,
  options: Parameters<World['addController']>[1] = {},
) => {
  const world = new World();
  Object.entries(engines).forEach(([id, fencing]) => world.addEngine(id, { fencing }));
  const member = world.addController('d1', options);
  await world.clock.advance(6_000);
  return { world, ...member };
};

const woken = async (
  world: World,
  { controller }: Pick<Member, 'controller'>,
  item: string,
  withinMs = 120_000,
) => {
  controller.touch(item, world.clock.now());
  const result = await world.clock.settle(controller.wake(item, world.clock.now() + withinMs));
  return result.isOk() ? result.value : result.error;
};

// Guards against a wake-up that loads an item twice or resolves with an engine that lacks it.
test('concurrent wake-ups of an item share one load', async () => {
  const { world, controller } = await started({ e1: true, e2: true });
  const wakes = [1, 2, 3].map(() => woken(world, { controller }, 'quote-7@1'));
  expect(await Promise.all(wakes)).toEqual(['e1', 'e1', 'e1']);
  const loads = world.engines
    .flatMap(({ arrived }) => arrived)
    .filter(({ kind }) => kind === 'load');
  expect(loads).toHaveLength(1);
});

// Guards against an adapter that is loaded without its model, or a model unloaded before its
// adapter.
test('an adapter is loaded after its model and unloaded before it', async () => {
  const { world, controller } = await started({ e1: false }, { keepWarm: FixedTtl.create(5_000) });
  expect(await woken(world, { controller }, 'quote-7:venues')).toBe('e1');
  await world.clock.advance(30_000);
  const [engine] = world.engines;
  expect(
    engine.arrived.filter(({ kind }) => kind !== 'role').map(({ kind, item }) => `${kind} ${item}`),
  ).toMatchInlineSnapshot(`
   [
     "load quote-7@1",
     "load quote-7:venues@1",
     "unload quote-7:venues@1",
     "unload quote-7@1",
   ]
  `);
  expect(world.held()).toEqual({ e1: [] });
});

// Guards against a request that waits for a load that cannot be ready in time, and a retry time
// at which the item is still not ready.
test('a request that cannot be served in time is refused at once with an accurate retry time', async () => {
  const { world, controller } = await started({ e1: true });
  world.engines[0].cache('quote-7@1', 'disk');
  await world.clock.advance(300_000);
  const asked = world.clock.now();
  const refusal = await woken(world, { controller }, 'quote-7', 1_000);
  expect(world.clock.now() - asked).toBeLessThan(100);
  expect(refusal).toMatchObject({ kind: 'too_late' });
  await world.clock.advance((refusal as { retryAfterMs: number }).retryAfterMs);
  expect(await woken(world, { controller }, 'quote-7', 100)).toBe('e1');
});

// Guards against an unload while a request runs: a daemon that has not received the drain mark yet
// may still send one.
test('an idle replica is drained for 2 s and unloaded only when no request runs', async () => {
  const marked: number[] = [];
  const world = new World();
  const engine = world.addEngine('e1');
  engine.cache('quote-7@1', 'memory');
  const { controller } = world.addController('d1', {
    keepWarm: FixedTtl.create(10_000),
    onDrain: (list) =>
      list.forEach(() => {
        marked.push(world.clock.now());
        // A daemon that has not received the mark sends one more request.
        if (marked.length === 1) engine.setRunning('quote-7@1', 1);
      }),
  });
  await world.clock.advance(5_000);
  await woken(world, { controller }, 'quote-7');
  engine.setRunning('quote-7@1', 1);
  await world.clock.advance(20_000);
  expect(marked).toEqual([]);
  engine.setRunning('quote-7@1', 0);
  await world.clock.advance(20_000);
  expect(marked).toHaveLength(1);
  expect(world.held()).toEqual({ e1: ['quote-7@1 ready'] });
  engine.setRunning('quote-7@1', 0);
  await world.clock.advance(10_000);
  expect(world.held()).toEqual({ e1: [] });
});

// Guards against an unload that is sent before the drain mark has reached every daemon.
test('the unload comes at least 2 s after the drain mark', async () => {
  const times: number[] = [];
  const world = new World();
  const engine = world.addEngine('e1');
  const { controller } = world.addController('d1', {
    keepWarm: FixedTtl.create(10_000),
    onDrain: () => times.push(world.clock.now()),
  });
  await world.clock.advance(5_000);
  await woken(world, { controller }, 'quote-7');
  engine.onChange = () => times.push(world.clock.now());
  await world.clock.advance(30_000);
  expect(times[1] - times[0]).toBeGreaterThanOrEqual(2_000);
});

// Guards against a requested item that is refused although idle replicas could be evicted.
test('idle replicas of least value are evicted', async () => {
  const { world, controller } = await started({ e1: true });
  expect(await woken(world, { controller }, 'quote-7')).toBe('e1');
  await world.clock.advance(1_000);
  world.bundle = bundleOf({ models: [model('quote-7'), model('plan-2', { bytes: 70e9 })] });
  expect(await woken(world, { controller }, 'plan-2')).toBe('e1');
  expect(world.held()).toEqual({ e1: ['plan-2@1 ready'] });
});

// Guards against an order to an engine that ignores fencing without an intent in the record, which
// a successor reads, and against a domain that loads nothing while the store is down.
test('a store outage allows unrecorded loads on fencing engines and standing intents elsewhere', async () => {
  const world = new World();
  world.bundle = bundleOf({
    models: ['a', 'b', 'c', 'd', 'e'].map((name) => model(name, { bytes: 30e9 })),
    adapters: [],
  });
  const ignoring = world.addEngine('e1', { fencing: false, memoryBytes: 70e9 });
  const { controller, store } = world.addController('d1');
  await world.clock.advance(12_000);
  const standing = controller.status().record?.intents.map(({ kind, item }) => `${kind} ${item}`);
  expect(standing).toMatchInlineSnapshot(`
   [
     "standing a@1",
     "standing b@1",
   ]
  `);
  store.faults.down = true;
  await world.clock.advance(3_000);
  const answers = new Map<string, unknown>();
  for (const { name } of world.bundle.models)
    answers.set(name, await woken(world, { controller }, name));
  const loaded = ignoring.items.map(({ item }) => `standing ${item}`);
  expect(new Set(loaded)).toEqual(new Set(standing));
  ['e2', 'e3', 'e4'].forEach((id) => world.addEngine(id, { fencing: true }));
  await world.clock.advance(5_000);
  for (const { name } of world.bundle.models)
    answers.set(name, await woken(world, { controller }, name));
  const served = [...answers.values()].filter((answer) => typeof answer === 'string');
  expect(served).toHaveLength(5);
  store.faults.down = false;
  await world.clock.advance(5_000);
  expect(controller.status().record?.intents.filter(({ answered }) => answered)).toHaveLength(5);
  expect(controller.status().isStoreDown).toBe(false);
});

// Guards against a replica above the limit during a version change, and a removed model that stays
// loaded.
test('at limit 1 the old version is unloaded before the new one loads, and removed models are unloaded', async () => {
  const { world, controller } = await started({ e1: true, e2: false });
  await woken(world, { controller }, 'quote-7');
  await woken(world, { controller }, 'plan-2');
  let most = 0;
  world.engines.forEach((engine) => {
    // eslint-disable-next-line no-param-reassign -- the fake is observed through this hook
    engine.onChange = () => {
      const held = world.engines.flatMap(({ items }) => items);
      most = Math.max(most, held.filter(({ item }) => item.startsWith('quote-7@')).length);
    };
  });
  world.bundle = bundleOf({
    version: 2,
    models: [model('quote-7', { version: '2' })],
    adapters: [],
  });
  await world.clock.advance(40_000);
  expect(Object.values(world.held()).flat()).toEqual(['quote-7@2 ready']);
  expect(most).toBe(1);
});

// Guards against excess replicas that stay loaded after the limit is lowered.
test('replicas above a lowered limit are unloaded', async () => {
  const { world, controller } = await started({ e1: true, e2: true });
  world.bundle = bundleOf({ models: [model('quote-7', { replicas: 2 })] });
  await woken(world, { controller }, 'quote-7');
  const replicas = world.view();
  expect(replicas.replicas('quote-7@1')).toHaveLength(1);
  world.bundle = bundleOf({ models: [model('quote-7', { replicas: 0 })] });
  await world.clock.advance(10_000);
  expect(Object.values(world.held()).flat()).toEqual([]);
});

// Guards against a planned stop that leaves the domain without a controller until the lease
// expires.
test('stop hands the domain over at once and leaves no tenure', async () => {
  const { world, controller } = await started({ e1: false });
  await woken(world, { controller }, 'quote-7');
  const second = world.addController('d2');
  await world.clock.advance(3_000);
  expect(second.controller.isHolder).toBe(false);
  await world.clock.settle(controller.stop());
  await world.clock.advance(3_000);
  expect(second.controller.isHolder).toBe(true);
  expect(await woken(world, second, 'quote-7', 50)).toBe('e1');
  const { record } = second.controller.status();
  expect({
    epoch: record?.epoch,
    tenures: record?.tenures,
    unrecorded: record?.unrecorded,
  }).toEqual({
    epoch: 2,
    tenures: [],
    unrecorded: false,
  });
});

// Guards against a domain that stays without a controller after a crash.
test('a successor takes over within 10 s of a crash', async () => {
  const { world, process } = await started({ e1: true });
  const second = world.addController('d2');
  await world.clock.advance(3_000);
  process.kill();
  await world.clock.advance(10_000);
  expect(second.controller.isHolder).toBe(true);
});

// Guards against a slot that is lent while a replica still uses it.
test('a loan is recorded only after the unload is proven', async () => {
  const { world, controller } = await started({ e1: true }, { keepWarm: FixedTtl.create(10_000) });
  const loan = { id: 'l1', item: 'quote-7', slots: 1, giver: domain, taker: 'kal-east', limit: 1 };
  await woken(world, { controller }, 'quote-7');
  expect(await world.clock.settle(controller.recordLoan(loan))).toBe('rejected');
  await world.clock.advance(20_000);
  expect(await world.clock.settle(controller.recordLoan(loan))).toBe('confirmed');
  expect(await woken(world, { controller }, 'quote-7')).toMatchObject({ kind: 'no_allotment' });
  expect(await world.clock.settle(controller.endLoan(loan))).toBe('confirmed');
  expect(await woken(world, { controller }, 'quote-7')).toBe('e1');
});

// Guards against a holder that takes its own write, whose response was lost, for another holder's.
test('lost store responses are resolved by reading the record again', async () => {
  const { world, controller, store } = await started({ e1: false });
  const random = SeededRandom.create(3);
  store.faults.losesAnswer = () => random.next() < 0.5;
  expect(await woken(world, { controller }, 'quote-7')).toBe('e1');
  expect(await woken(world, { controller }, 'plan-2')).toBe('e1');
  await world.clock.advance(20_000);
  expect(controller.status()).toMatchObject({ isHolder: true, epoch: 1 });
});

// Guards against new work for a host that is about to be reclaimed, and a second replica during the
// move.
test('a replica on a leaving host moves to another engine', async () => {
  const { world, controller } = await started({ e1: true, e2: true });
  const from = await woken(world, { controller }, 'quote-7');
  const leaving = world.engines.find(({ id }) => id === from);
  if (leaving !== undefined) leaving.state = 'leaving';
  world.hosts = world.hosts.map((host) =>
    host.name === from ? { ...host, state: 'leaving' } : host,
  );
  let most = 0;
  world.engines.forEach((engine) => {
    // eslint-disable-next-line no-param-reassign -- the fake is observed through this hook
    engine.onChange = () => {
      most = Math.max(most, world.engines.flatMap(({ items }) => items).length);
    };
  });
  const to = await woken(world, { controller }, 'quote-7');
  expect([from, to].sort()).toEqual(['e1', 'e2']);
  expect(most).toBe(1);
  expect(Object.values(world.held()).flat()).toEqual(['quote-7@1 ready']);
});
