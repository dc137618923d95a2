import { type Random, SeededRandom } from '@currantdrift/core';
import { PredictiveBalancer } from '@currantdrift/routing';
import { chanceOfUse } from '../src/fleet-share';
import { KnownStarts } from '../src/known-starts';
import { PrefillRate } from '../src/prefill-rate';
import { weightedSample } from '../src/weighted-sample';

const candidate = (id: string, slots = 4) => ({ id, bornAt: 1, slots, roundTripMs: 1 });

// Guards against a restarted daemon that opens a whole fleet slowly, and against a restarted endpoint
// that it takes for a known one.
test('only endpoints that start within sight count as started', () => {
  const starts = KnownStarts.create();
  const endpoint = (id: string, bornAt: number) => ({ id, bornAt, slots: 4 });
  const ids = (now: number, ...endpoints: ReturnType<typeof endpoint>[]) =>
    starts.observe(endpoints, now).map(({ id }) => id);
  const [a, b, c] = [endpoint('a', 100), endpoint('b', 300), endpoint('c', 200)];
  expect({
    first: ids(0, a),
    whileGathering: ids(2_000, a, b),
    learnedLate: ids(20_000, a, b, c),
    started: ids(21_000, a, b, endpoint('d', 400)),
    restarted: ids(22_000, endpoint('a', 500), b),
    backAfterLapse: ids(60_000, b, c, endpoint('d', 400)),
    unknownStart: ids(61_000, endpoint('x', 0)),
  }).toMatchSnapshot();
});

// Guards against a rate that one cached prompt or one hidden wait falsifies, or that leaves its bounds.
test('the prefill rate is the bounded median of recent samples', () => {
  const learn = (...rates: number[]) => {
    const prefill = PrefillRate.create();
    rates.forEach((rate) => prefill.observe(1_000, 1_000 / rate));
    return Math.round(prefill.tokensPerMs * 10) / 10;
  };
  expect({
    few: learn(26, 26, 26, 26),
    learned: learn(26, 26, 26, 26, 26),
    outliers: learn(26, 900, 26, 0.5, 26, 25),
    cached: learn(900, 900, 900, 900, 900),
    stuck: learn(0.1, 0.1, 0.1, 0.1, 0.1),
  }).toMatchSnapshot();
});

// Guards against a prediction that ignores that a machine is slow now, or trusts an old figure.
test('a reported speed counts for a limited time', () => {
  const predict = (at: number, workTimePercent?: number) => {
    const balancer = PredictiveBalancer.create(SeededRandom.create(1), () => 1);
    const first = balancer.reserve([candidate('a')], 0, Infinity, 0);
    first?.observeLoad({ running: 1, waiting: 0, workTimePercent }, 0);
    first?.release('served', 0);
    return balancer.reserve([candidate('a')], 0, Infinity, at)?.predictedMs;
  };
  expect({
    unknown: predict(100),
    usual: predict(100, 100),
    slower: predict(100, 150),
    old: predict(600, 150),
    absurd: predict(100, 1_000_000),
  }).toMatchSnapshot();
});

// Guards against small endpoints that get as many requests as large ones from many daemons.
test('samples are drawn in proportion to slots', () => {
  const random: Random = SeededRandom.create(1);
  const endpoints = [candidate('small', 4), candidate('large', 12), candidate('usual', 8)];
  const counts = new Map<string, number>();
  for (let index = 0; index < 6_000; index += 1) {
    const [{ id }] = weightedSample(endpoints, 1, ({ slots }) => slots, random);
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  expect(Object.fromEntries(counts)).toMatchSnapshot();
  expect(weightedSample(endpoints, 3, ({ slots }) => slots, random)).toHaveLength(3);
});

// Guards against daemons that together exceed the limit of an opening endpoint, or leave it idle.
test('the daemons share the limit of an opening endpoint', () => {
  const view = { limit: 3, own: 0, others: 0, daemons: 300, wantedPerMs: 1e-4, holdMs: 1_000 };
  const expectedInFlight = (chance: number) => chance * 300 * 1e-4 * 1_000;
  expect(expectedInFlight(chanceOfUse(view))).toBeCloseTo(3);
  expect(expectedInFlight(chanceOfUse({ ...view, others: undefined }))).toBeCloseTo(3);
  expect(chanceOfUse({ ...view, holdMs: 60_000, others: 3 })).toBeLessThan(0.01);
  expect(chanceOfUse({ ...view, own: 3 })).toBe(0);
  expect(chanceOfUse({ ...view, daemons: 1 })).toBe(1);
  // Requests that are too rare to meet each other need no limit.
  expect(chanceOfUse({ ...view, wantedPerMs: 1e-6 })).toBe(1);
});

// Guards against an endpoint that stays closed because none of its candidates may be used.
test('an opening endpoint is used if there is no other', () => {
  const balancer = PredictiveBalancer.create(SeededRandom.create(1), () => 300);
  balancer.observeEndpoints([candidate('old')], 0);
  balancer.observeEndpoints([{ id: 'new', bornAt: 2, slots: 4 }], 10_000);
  const only = [{ ...candidate('new'), bornAt: 2 }];
  const taken = Array.from({ length: 8 }, () => balancer.reserve(only, 0, Infinity, 10_001));
  expect(taken.every((reservation) => reservation?.endpoint === 'new')).toBe(true);
});
