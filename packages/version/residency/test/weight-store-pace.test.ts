import { AdaptiveLoadLimit } from '../src';

/** Plays loads one after the other against a store that carries `capacity` at full speed. */
const play = (capacity: number, rounds: number): number[] => {
  const pace = AdaptiveLoadLimit.create();
  return Array.from({ length: rounds }, () => {
    const underWay = pace.maxConcurrent;
    pace.recordLoad(10_000, 10_000 * Math.max(1, underWay / capacity), underWay);
    return pace.maxConcurrent;
  });
};

describe('loads take longer because many run', () => {
  // Guards against four loads at once at half speed where two would take half the time.
  test.each([1, 2, 3, 4])('a store that carries %i at once gets as many', (capacity) => {
    const learnt = play(capacity, 12);
    const late = learnt.slice(6);
    expect(Math.max(...late)).toBeLessThanOrEqual(capacity + 1);
    expect(Math.min(...late)).toBeGreaterThanOrEqual(Math.max(1, capacity - 1));
  });

  // Guards against a number that stays low after the store was slow for a while.
  test('the number rises again when loads are fast', () => {
    const pace = AdaptiveLoadLimit.create();
    for (let round = 0; round < 4; round += 1) pace.recordLoad(10_000, 60_000, 1);
    expect(pace.maxConcurrent).toBe(1);
    for (let round = 0; round < 8; round += 1) pace.recordLoad(10_000, 10_100, pace.maxConcurrent);
    expect(pace.maxConcurrent).toBe(4);
  });
});
