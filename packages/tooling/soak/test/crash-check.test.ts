import { CauseKind, lostSoundViolations, repeatedCrashViolations } from '../src';

const contactMs = 3_000;

const crashes = (count: number, kind: CauseKind = CauseKind.part) =>
  Array.from({ length: count }, (_, index) => ({
    endpoint: `e${index}`,
    kind,
    cause: 'd1',
    at: index * 100,
  }));

const arrivals = (count: number, from: number) =>
  Array.from({ length: count }, (_, index) => ({
    endpoint: 'e9',
    cause: 'd1',
    at: from + index * 100,
  }));

test('requests with the part may reach engines until shortly after the fifth crash', () => {
  expect(repeatedCrashViolations(crashes(6), arrivals(20, 500), contactMs)).toEqual([]);
});

test('three requests may follow, a fourth one breaks the promise', () => {
  expect(repeatedCrashViolations(crashes(5), arrivals(3, 4_000), contactMs)).toEqual([]);
  expect(repeatedCrashViolations(crashes(5), arrivals(4, 4_000), contactMs)).toMatchSnapshot();
});

test('fewer than five crashes hold back nothing', () => {
  expect(repeatedCrashViolations(crashes(4), arrivals(9, 9_000), contactMs)).toEqual([]);
});

test('a request that comes again may reach engines until shortly after its third crash', () => {
  const { request } = CauseKind;
  expect(repeatedCrashViolations(crashes(2, request), arrivals(9, 9_000), contactMs)).toEqual([]);
  expect(repeatedCrashViolations(crashes(3, request), arrivals(3, 3_900), contactMs)).toEqual([]);
  expect(
    repeatedCrashViolations(crashes(3, request), arrivals(4, 3_900), contactMs),
  ).toMatchSnapshot();
});

// Guards against a check that is content when everything is refused.
test('sound requests must begin while requests with the part come', () => {
  const requests = (begun: number) =>
    Array.from({ length: 20 }, (_, index) => ({ sentAt: 8_000 + index, hasBegun: index < begun }));
  const parts = [{ kind: CauseKind.part, cause: 'd1', to: 10_000 }];
  expect(lostSoundViolations(parts, crashes(5), requests(10), contactMs)).toEqual([]);
  expect(lostSoundViolations(parts, crashes(5), requests(9), contactMs)).toMatchSnapshot();
});
