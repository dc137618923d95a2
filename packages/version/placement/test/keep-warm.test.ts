import { SeededRandom } from '@currantdrift/core';
import fc from 'fast-check';
import {
  currentOrNextWindow,
  clairvoyantBound,
  GapHistogram,
  type ItemCost,
  warmPlan,
  type WarmSpan,
} from '../src';

const seed = 815;

const minuteMs = 60_000;

const hourMs = 60 * minuteMs;

const policy = (cost: Partial<ItemCost> = {}) =>
  GapHistogram.create({
    idleHourPrice: 3,
    coldSecondPrice: 0.03,
    costOf: () => ({ coldStartSeconds: 30, accelerators: 1, calendar: [], ...cost }),
  });

/** Expected cost of a given choice of loaded bins, computed directly from the definition. */
const expectedCost = (
  warm: readonly boolean[],
  weights: readonly number[],
  beyond: number,
  { idlePerMs, coldStart, load }: { idlePerMs: number; coldStart: number; load: number },
): number => {
  const total = weights.reduce((sum, weight) => sum + weight, beyond);
  const costOfGap = (last: number) => {
    let cost = 0;
    for (let bin = 0; bin <= last && bin < warm.length; bin += 1) {
      if (warm[bin]) cost += idlePerMs * 100 * (bin === last ? 0.5 : 1);
      if (warm[bin] && bin > 0 && !warm[bin - 1]) cost += load;
    }
    return cost + (last < warm.length && warm[last] ? 0 : coldStart);
  };
  return [...weights, beyond].reduce(
    (sum, weight, bin) => sum + (weight / total) * costOfGap(bin),
    0,
  );
};

// Guards against a plan that costs more than the optimum, found by enumerating all plans.
test('the plan is the cheapest of all choices of loaded bins', () => {
  const bins = 7;
  const edgesMs = Array.from({ length: bins + 1 }, (_, index) => index * 100);
  const isWarm = (spans: readonly WarmSpan[], bin: number) =>
    spans.some(({ fromMs, toMs }) => edgesMs[bin] >= fromMs && edgesMs[bin] < toMs);
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 0, max: 20 }), { minLength: bins, maxLength: bins }),
      fc.integer({ min: 1, max: 20 }),
      fc.integer({ min: 1, max: 60 }),
      fc.integer({ min: 0, max: 10 }),
      (weights, beyond, coldStart, load) => {
        const costs = { idlePerMs: 0.05, coldStart, load };
        const spans = warmPlan({ edgesMs, weights, beyond }, costs);
        const plan = weights.map((_, bin) => isWarm(spans, bin));
        const all = Array.from({ length: 2 ** bins }, (_, choice) =>
          weights.map((__, bin) => Math.floor(choice / 2 ** bin) % 2 === 1),
        );
        const best = Math.min(...all.map((warm) => expectedCost(warm, weights, beyond, costs)));
        expect(expectedCost(plan, weights, beyond, costs)).toBeLessThanOrEqual(best + 1e-9);
      },
    ),
    { seed, numRuns: 300 },
  );
});

// Guards against an item with regular gaps that stays loaded between uses or is cold when used.
test('an item with regular gaps is unloaded between uses and preloaded', () => {
  const keepWarm = policy();
  for (let use = 0; use <= 40; use += 1) keepWarm.touch('plan-2', use * 2 * hourMs);
  const last = 80 * hourMs;
  expect(keepWarm.keepUntil('plan-2', last + 1)).toBeLessThan(last + 10 * minuteMs);
  const at = keepWarm.preloadAt('plan-2', last + 30 * minuteMs) ?? Infinity;
  expect(at).toBeGreaterThan(last + 90 * minuteMs);
  expect(at).toBeLessThan(last + 120 * minuteMs - 30_000);
  expect(keepWarm.keepUntil('plan-2', at + 30_000)).toBeGreaterThan(last + 120 * minuteMs);
});

// Guards against a cold start price that has no effect.
test('a higher price of cold starts keeps an item longer', () => {
  const kept = [0.001, 0.03, 1].map((coldSecondPrice) => {
    const keepWarm = GapHistogram.create({
      idleHourPrice: 3,
      coldSecondPrice,
      costOf: () => ({ coldStartSeconds: 30, accelerators: 1, calendar: [] }),
    });
    const random = SeededRandom.create(seed);
    let now = 0;
    for (let round = 0; round < 300; round += 1) {
      now += 10_000 * Math.exp(random.next() * 8);
      keepWarm.touch('quote-7', now);
    }
    return keepWarm.keepUntil('quote-7', now) - now;
  });
  expect([...kept].sort((a, b) => a - b)).toEqual(kept);
  expect(new Set(kept).size).toBe(3);
});

// Guards against a scheduled item that starts cold, and one that stays loaded without requests.
test('a calendar window preloads and ends when waiting costs more than a cold start', () => {
  const keepWarm = policy({ calendar: [{ from: '23:30', to: '01:00' }] });
  const evening = 20 * hourMs;
  expect(keepWarm.preloadAt('review-1', evening)).toBe(23.5 * hourMs - 30_000);
  const until = keepWarm.keepUntil('review-1', 23.5 * hourMs);
  expect(until).toBe(23.5 * hourMs + 18 * minuteMs);
  expect(currentOrNextWindow([{ from: '23:30', to: '01:00' }], 24.5 * hourMs)).toEqual({
    from: 23.5 * hourMs,
    until: 25 * hourMs,
  });
});

// Guards against learned state that is lost or changed when a successor takes over.
test('a snapshot restores the decisions, and an invalid one is ignored', () => {
  const first = policy();
  for (let use = 0; use <= 40; use += 1) first.touch('plan-2', use * 2 * hourMs);
  const second = policy();
  second.restore(first.snapshot());
  second.restore('{"items":[["plan-2"]]}');
  second.restore('no JSON');
  const last = 80 * hourMs;
  const decisions = (keepWarm: GapHistogram) =>
    [keepWarm.keepUntil('plan-2', last), keepWarm.preloadAt('plan-2', last + hourMs) ?? 0].map(
      (time) => Math.round((time - last) / minuteMs),
    );
  expect(decisions(second)).toEqual(decisions(first));
});

// Guards against a bound that a policy could beat.
test('the clairvoyant bound has no cold starts and the least idle time', () => {
  expect(clairvoyantBound([0, 10_000, 500_000], 5_000, 30_000)).toEqual({
    idleMs: 30_000 + 5_000 + 30_000,
    coldStarts: 0,
  });
});
