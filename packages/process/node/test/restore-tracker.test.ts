import { NoopTelemetry } from '@currantdrift/core';
import { RestoreTracker } from '../src/process/restore-tracker';

const startAt = 1_000_000;

const start = (era?: number) => {
  const tracker = RestoreTracker.create(NoopTelemetry.create());
  const heard: number[] = [];
  tracker.subscribe(() => heard.push(tracker.current?.era ?? 0));
  if (era !== undefined) tracker.observe(era, startAt);
  return { tracker, heard };
};

test('a store that has never come back leaves nothing to wait for', () => {
  const { tracker, heard } = start(0);
  tracker.observeMember({ era: 0, since: 0 }, startAt);
  expect(tracker.recoveryLeftMs(startAt)).toBe(0);
  expect(heard).toEqual([]);
});

// Guards against claims that are granted before those that the store lost are written again.
test('a new era is waited for, once, from when it is first seen', () => {
  const { tracker, heard } = start(0);
  tracker.observe(1, startAt + 100);
  tracker.observe(1, startAt + 5_000);
  // A late answer of before.
  tracker.observe(0, startAt + 6_000);
  const left = [100, 5_000, 15_100, 20_000].map((ms) => tracker.recoveryLeftMs(startAt + ms));
  expect(left).toEqual([15_000, 10_100, 0, 0]);
  expect(heard).toEqual([1]);
});

test('a daemon learns a new era from another one', () => {
  const { tracker, heard } = start(1);
  tracker.observeMember({ era: 2, since: startAt + 40_000 }, startAt + 41_000);
  expect(heard).toEqual([2]);
  expect(tracker.recoveryLeftMs(startAt + 41_000)).toBe(15_000);
});

// Guards against a daemon that starts during a recovery, or that waits for one of long ago.
test('a daemon that has just started waits unless another one knows the era for longer', () => {
  const { tracker, heard } = start(3);
  expect(tracker.recoveryLeftMs(startAt)).toBe(15_000);
  tracker.observeMember({ era: 3, since: startAt - 1_000 }, startAt);
  expect(tracker.recoveryLeftMs(startAt)).toBe(15_000);
  tracker.observeMember({ era: 3, since: startAt - 60_000 }, startAt);
  expect(tracker.recoveryLeftMs(startAt)).toBe(0);
  expect(heard).toEqual([]);
});
