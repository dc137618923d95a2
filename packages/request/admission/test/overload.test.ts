import { fifo, type Load, queue, simulate } from './overload';

const callers = Array.from({ length: 8 }, (_, index) => ({
  name: `caller-${index}`,
  weight: 1,
  priority: index < 2 ? 7 : 5,
}));

const goodput = async (make: Parameters<typeof simulate>[0], seed: number, loads: number[]) => {
  const runs = await Promise.all(loads.map((times) => simulate(make, { times, seed, callers })));
  return runs.map((run) => run.goodput);
};

// Guards against goodput that falls under overload. The FIFO baseline and the queue without early
// refusal show that this load does reduce goodput without the protection.
test.each([1, 2, 3])('goodput at 10x stays within 10%% of its peak, seed %i', async (seed) => {
  const ours = await goodput(queue(), seed, [1, 2, 5, 10]);
  const naive = await goodput(fifo, seed, [1, 10]);
  const unprotected = await goodput(queue({ earlyRefusal: false }), seed, [1, 10]);
  const peak = Math.max(...ours);
  expect(peak).toBeGreaterThan(0.9);
  expect(Math.min(...ours.slice(1))).toBeGreaterThan(0.9 * peak);
  expect(naive[1]).toBeLessThan(0.5 * naive[0]);
  expect(unprotected[1]).toBeLessThan(0.5 * unprotected[0]);
});

// Guards against entries that are never settled or are refused only after their deadline.
test('every entry is settled once, and none is refused after its deadline', async () => {
  const load: Load = { times: 10, seed: 4, callers };
  const run = await simulate(queue({ maxWaiting: 16, maxPerCaller: 4 }), load);
  const settled = Object.values(run.settled).reduce((sum, count) => sum + count, 0);
  expect(settled).toBe(run.arrivals);
  expect(run.lateRefusalMs).toBeLessThanOrEqual(0);
});

// Guards against a caller that gets more than its share by sending more requests.
test('a caller with three times the weight gets three times the answers', async () => {
  const load: Load = {
    times: 5,
    seed: 5,
    callers: [
      { name: 'small', weight: 1, priority: 5 },
      // Drawn four times, so it sends four times as many requests as each of the others.
      ...Array.from({ length: 4 }, () => ({ name: 'greedy', weight: 1, priority: 5 })),
      { name: 'large', weight: 3, priority: 5 },
    ],
  };
  const { byCaller } = await simulate(queue(), load);
  expect(byCaller.large / byCaller.small).toBeGreaterThan(2.5);
  expect(byCaller.large / byCaller.small).toBeLessThan(3.5);
  expect(byCaller.greedy / byCaller.small).toBeLessThan(1.3);
});
