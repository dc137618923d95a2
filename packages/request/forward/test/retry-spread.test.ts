import { SeededRandom } from '@currantdrift/core';
import { RetrySpread } from '../src/retry-spread';

const settings = { minRetrySpreadMs: 200, retrySpreadShare: 0.5 };

/** Highest number of values within the same `width`. */
const maxWithin = (values: readonly number[], width: number) => {
  const bins = values.map((value) => Math.floor(value / width));
  return Math.max(...bins.map((bin) => bins.filter((other) => other === bin).length));
};

const delays = (spread: RetrySpread, leftMs: number, count: number) =>
  Array.from({ length: count }, () => spread.next(leftMs));

// Guards against many clients of a burst that retry at once.
test('at most a fifth of a burst retries in the same tenth of a second, at any time left', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const spread = RetrySpread.create(settings, SeededRandom.create(seed));
    for (let leftMs = 1_400; leftMs <= 2_000; leftMs += 10) {
      expect(maxWithin(delays(spread, leftMs, 60), 100)).toBeLessThanOrEqual(12);
    }
  }
});

test('the offsets of two processes differ', () => {
  const [first, second] = [1, 2].map((seed) =>
    delays(RetrySpread.create(settings, SeededRandom.create(seed)), 1_000, 3).map(Math.round),
  );
  expect({ first, second }).toMatchSnapshot();
});

test.each([0, -50, 100, 10_000])('no retry is due before the %d ms left', (leftMs) => {
  const spread = RetrySpread.create(settings, SeededRandom.create(1));
  const seen = delays(spread, leftMs, 100);
  expect(Math.min(...seen)).toBeGreaterThanOrEqual(Math.max(0, leftMs));
  const spreadMs = Math.max(settings.minRetrySpreadMs, leftMs * settings.retrySpreadShare);
  expect(Math.max(...seen)).toBeLessThan(Math.max(0, leftMs) + spreadMs);
});
