import { StoreHandle } from '@currantdrift/fakes';
import { FixedTtl } from '../src';
import { permitsUnrecordedLoad } from '../src/outage';
import { bundleOf, domain, model, World } from './harness';

const item = ['a', 'b', 'c', 'd', 'e'].find((name) => permitsUnrecordedLoad('e1', name)) ?? 'a';

const worldOf = (fencing: boolean): World => {
  const world = new World();
  world.bundle = bundleOf({ models: [model(item)], adapters: [] });
  world.addEngine('e1', { fencing });
  return world;
};

const replicas = (world: World): number => world.engines.flatMap(({ items }) => items).length;

// Guards against a second replica of an item that a former holder, cut off from the store, loaded
// without a recorded intent on an engine that the successor cannot reach.
test('a successor waits for the engines that may hold unrecorded loads', async () => {
  const world = worldOf(true);
  const first = world.addController('d1');
  await world.clock.advance(5_000);
  first.store.faults.down = true;
  await world.clock.advance(3_000);
  const unrecorded = first.controller.wake(item, world.clock.now() + 60_000);
  expect((await world.clock.settle(unrecorded))._unsafeUnwrap()).toBe('e1');
  world.addEngine('e2', { fencing: true });
  first.process.kill();
  world.engines[0].faults.cut = true;
  const { controller } = world.addController('d2');
  await world.clock.advance(20_000);
  expect(controller.isHolder).toBe(true);
  const refused = await world.clock.settle(controller.wake(item, world.clock.now() + 60_000));
  expect(refused._unsafeUnwrapErr().kind).toBe('no_allotment');
  expect(replicas(world)).toBe(1);
  world.engines[0].faults.cut = false;
  await world.clock.advance(10_000);
  const woken = await world.clock.settle(controller.wake(item, world.clock.now() + 1_000));
  expect(woken._unsafeUnwrap()).toBe('e1');
  expect(replicas(world)).toBe(1);
});

// Guards against a second replica from the delayed load order of a paused controller, and against
// an item that stays blocked after the paused controller has resumed and found that it was
// replaced.
test('an item stays blocked on the engine of a late order until its sender acknowledges', async () => {
  const world = worldOf(false);
  const first = world.addController('d1', { keepWarm: FixedTtl.create(5_000) });
  await world.clock.advance(2_500);
  // Paused between the confirmation of the intent and the order.
  const { store, process } = first;
  store.faults.latencyMs = 200;
  const lost = first.controller.wake(item, world.clock.now() + 60_000);
  lost.catch(() => {});
  await world.clock.advance(150);
  process.pause();
  world.addEngine('e2', { fencing: false });
  const { controller } = world.addController('d2', { keepWarm: FixedTtl.create(5_000) });
  await world.clock.advance(20_000);
  expect(controller.isHolder).toBe(true);
  const blocked = await world.clock.settle(controller.wake(item, world.clock.now() + 60_000));
  expect(blocked._unsafeUnwrapErr().kind).toBe('no_allotment');
  store.faults.latencyMs = 0;
  process.resume();
  await world.clock.advance(60_000);
  const woken = await world.clock.settle(controller.wake(item, world.clock.now() + 60_000));
  expect(woken.isOk()).toBe(true);
  expect(replicas(world)).toBe(1);
});

// Guards against a holder that goes on without the lease after another process has taken it while the
// first one was still reading the record.
test('a process that loses the lease before it has the record does not hold the domain', async () => {
  const world = worldOf(true);
  const { controller, store } = world.addController('d1');
  store.faults.losesAnswer = (call, key) => call === 'get' && key === `domain/${domain}/record`;
  await world.clock.advance(3_000);
  const other = StoreHandle.create(world.memory, world.clock);
  const leaseKey = `domain/${domain}/lease`;
  const held = (await other.get(leaseKey))._unsafeUnwrap();
  const { lease } = JSON.parse(Buffer.from(held?.value ?? []).toString()) as { lease: string };
  await other.revokeLease(lease);
  await other.compareAndSwap(leaseKey, 0, Buffer.from('{"holder":"d2","lease":"another"}'));
  await world.clock.advance(5_000);
  store.faults.losesAnswer = () => false;
  await world.clock.advance(3_000);
  expect(controller.isHolder).toBe(false);
});

// Guards against a fencing token that two holders have, since the store came back from a copy between them.
test('a holder after a restore of the store outranks all before it', async () => {
  const world = worldOf(true);
  const copy = world.memory.copy();
  const first = world.addController('d1');
  await world.clock.advance(5_000);
  const before = first.controller.status();
  expect(before.isHolder).toBe(true);
  first.process.pause();
  world.memory.restore(copy);
  const { controller } = world.addController('d2');
  await world.clock.advance(10_000);
  const { isHolder, epoch } = controller.status();
  expect(isHolder).toBe(true);
  expect(epoch).toBeGreaterThan(before.epoch);
});

// Guards against a second replica of an item whose load is in no record that the store still has.
test('a holder after a restore waits for the engines that may hold loads it does not know', async () => {
  const world = worldOf(true);
  const first = world.addController('d1');
  await world.clock.advance(5_000);
  await world.clock.settle(first.controller.stop());
  const copy = world.memory.copy();
  const second = world.addController('d2');
  await world.clock.advance(5_000);
  const load = second.controller.wake(item, world.clock.now() + 60_000);
  expect((await world.clock.settle(load))._unsafeUnwrap()).toBe('e1');
  second.process.kill();
  world.engines[0].faults.cut = true;
  world.memory.restore(copy);
  world.addEngine('e2', { fencing: true });
  const { controller } = world.addController('d3');
  await world.clock.advance(20_000);
  expect(controller.isHolder).toBe(true);
  const refused = await world.clock.settle(controller.wake(item, world.clock.now() + 60_000));
  expect(refused._unsafeUnwrapErr().kind).toBe('no_allotment');
  expect(replicas(world)).toBe(1);
});

// Guards against a holder that goes on with a record that the store has lost.
test('a holder during a restore takes the domain over anew', async () => {
  const world = worldOf(true);
  const first = world.addController('d1');
  await world.clock.advance(5_000);
  const copy = world.memory.copy();
  const { epoch } = first.controller.status();
  world.memory.restore(copy);
  first.controller.wake(item, world.clock.now() + 60_000).catch(() => {});
  await world.clock.advance(20_000);
  expect(first.controller.isHolder).toBe(true);
  expect(first.controller.status().epoch).toBeGreaterThan(epoch + 1);
  expect(replicas(world)).toBeLessThanOrEqual(1);
});
