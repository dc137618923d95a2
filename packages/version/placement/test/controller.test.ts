import { World } from './harness';

// Guards against a wake-up that loads an item twice or answers with an engine that lacks it.
test('wake-ups of an item join one load', async () => {
  const world = new World();
  const engine = world.addEngine('e1');
  world.addEngine('e2');
  const { controller } = world.addController('d1');
  await world.clock.advance(5_000);
  expect(controller.isHolder).toBe(true);
  const deadline = world.clock.now() + 60_000;
  const wakes = Promise.all([1, 2, 3].map(() => controller.wake('quote-7@1', deadline)));
  const results = (await world.clock.settle(wakes)).map((result) => result._unsafeUnwrap());
  expect(results).toEqual(['e1', 'e1', 'e1']);
  expect(engine.arrived.filter(({ kind }) => kind === 'load')).toHaveLength(1);
  expect(world.held()).toMatchInlineSnapshot(`
   {
     "e1": [
       "quote-7@1 ready",
     ],
     "e2": [],
   }
  `);
});

// Guards against an adapter that is loaded without its model.
test('an adapter brings its model along', async () => {
  const world = new World();
  world.addEngine('e1', { fencing: false });
  const { controller } = world.addController('d1');
  await world.clock.advance(5_000);
  const wake = controller.wake('quote-7:venues', world.clock.now() + 60_000);
  expect((await world.clock.settle(wake))._unsafeUnwrap()).toBe('e1');
  expect(world.held()).toMatchInlineSnapshot(`
   {
     "e1": [
       "quote-7@1 ready",
       "quote-7:venues@1 ready",
     ],
   }
  `);
});
