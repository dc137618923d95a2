import { VirtualClock } from '@currantdrift/fakes';
import { Budget, domainShare } from '../src';

// Guards against more concurrent loads or loads per second than the weight store allows, and
// against a load with an early deadline that waits behind one with a late deadline.
test('uses start in order of deadline within the limits on rate and concurrency', async () => {
  const clock = VirtualClock.create();
  const budget = Budget.create(clock, () => ({ maxConcurrent: 2, perSecond: 4 }));
  const starts: string[] = [];
  let used = 0;
  const use = async (name: string, deadline: number) => {
    const release = await budget.acquire(deadline);
    used += 1;
    starts.push(`${clock.now()} ${name} ${used}`);
    await clock.sleep(600);
    used -= 1;
    release();
  };
  const all = Promise.all([use('a', 9), use('late', 50), use('soon', 10), use('never', Infinity)]);
  await clock.settle(all);
  expect(starts).toMatchInlineSnapshot(`
   [
     "0 a 1",
     "250 soon 2",
     "600 late 2",
     "850 never 2",
   ]
  `);
});

// Guards against a share of 0 for a small domain, and a share above the limit.
test('shares are proportional to the number of engines and at least one', () => {
  expect([1, 90, 180, 358].map((engines) => domainShare(4, engines, 358))).toEqual([1, 1, 2, 4]);
  expect(domainShare(30, 100, 300)).toBe(10);
});
