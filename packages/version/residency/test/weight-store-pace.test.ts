import { AdaptiveLoadLimit } from '../src';

/** Simulates successive loads from a store that serves `capacity` loads at full speed. */
const simulateLoads = (capacity: number, rounds: number): number[] => {
  const limit = AdaptiveLoadLimit.create();
  return Array.from({ length: rounds }, () => {
    const concurrentLoads = limit.maxConcurrent;
    limit.recordLoad(10_000, 10_000 * Math.max(1, concurrentLoads / capacity), concurrentLoads);
    return limit.maxConcurrent;
  });
};

describe('concurrent loads slow each other down', () => {
  // Guards against four concurrent loads at half speed where two would take half the time.
  test.each([1, 2, 3, 4])('the limit stays within one of a capacity of %i', (capacity) => {
    const limits = simulateLoads(capacity, 12);
    const late = limits.slice(6);
    expect(Math.max(...late)).toBeLessThanOrEqual(capacity + 1);
    expect(Math.min(...late)).toBeGreaterThanOrEqual(Math.max(1, capacity - 1));
  });

  // Guards against a limit that stays low after the store was slow for a while.
  test('the limit rises again when loads are fast', () => {
    const limit = AdaptiveLoadLimit.create();
    for (let round = 0; round < 4; round += 1) limit.recordLoad(10_000, 60_000, 1);
    expect(limit.maxConcurrent).toBe(1);
    for (let round = 0; round < 8; round += 1)
      limit.recordLoad(10_000, 10_100, limit.maxConcurrent);
    expect(limit.maxConcurrent).toBe(4);
  });
});
