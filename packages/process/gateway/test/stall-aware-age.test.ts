import { StallAwareAge } from '../src/version/stall-aware-age';

const wallStart = 1_700_000_000_000;

/** Observes every 100 ms from `from` to `to`; the time of day is ahead by `aheadMs`. */
const run = (age: StallAwareAge, from: number, to: number, aheadMs = 0): void => {
  for (let now = from; now <= to; now += 100) age.observe(now, wallStart + now + aheadMs);
};

const corrected = (age: StallAwareAge, ageMs: number, now: number, aheadMs = 0): number =>
  age.correct(ageMs, now, wallStart + now + aheadMs);

test('the age is unchanged while the process runs', () => {
  const age = StallAwareAge.create();
  run(age, 0, 10_000);
  expect(corrected(age, 700, 10_050)).toBe(700);
});

// Guards against messages that waited in a buffer during a freeze and are read as news after it.
test('what is confirmed right after a freeze may be as old as the freeze', () => {
  const age = StallAwareAge.create();
  run(age, 0, 1_000);
  const thawed = corrected(age, 200, 6_000);
  run(age, 6_100, 6_600);
  expect([thawed, corrected(age, 200, 6_600)]).toEqual([5_200, 200]);
});

// Guards against a suspension, which the steady clock does not show.
test('a suspension counts for what was known before it', () => {
  const age = StallAwareAge.create();
  run(age, 0, 1_000);
  expect(corrected(age, 400, 1_100, 7_000)).toBe(7_400);
  run(age, 1_200, 3_000, 7_000);
  expect(corrected(age, 100, 3_050, 7_000)).toBe(100);
});

test('a time of day that is set back does not make knowledge younger', () => {
  const age = StallAwareAge.create();
  run(age, 0, 1_000);
  expect(corrected(age, 400, 1_100, -60_000)).toBe(400);
});
