import { AnswerTimes, LoopTicks, PlannedStop } from '../src';

const durations = { keepIdleMs: 2_000, acceptMs: 3_000, finishMs: 7_600 };
const endless = { service: 's', tokens: 10, deadline: Infinity };

const withAnswers = (...restMs: number[]) => {
  const times = AnswerTimes.create();
  restMs.forEach((ms) => times.record('s', { firstByteMs: 100, restMs: ms, tokens: 10 }));
  return PlannedStop.create(durations, times);
};

describe('what is taken in a planned stop', () => {
  test('everything before it begins', () => {
    const stop = withAnswers(60_000);
    expect([stop.isStopping, stop.acceptsUntil, stop.takes(endless, 1e9)]).toEqual([
      false,
      Infinity,
      true,
    ]);
  });

  // Guards against a limit that is late by the interval of a check, or by the delay of the signal.
  test('nothing from the limit on, which counts from the earliest time of the signal', () => {
    const stop = withAnswers();
    stop.begin(900, 1_000);
    expect([3_899, 3_900].map((now) => stop.takes(endless, now))).toEqual([true, false]);
    expect([stop.closesIdleFrom, stop.endsAt]).toEqual([3_000, 8_600]);
  });

  // Guards against streams that are taken though they outlast the process.
  test('only what is expected to end before the process', () => {
    const stop = withAnswers(4_900);
    stop.begin(0, 0);
    expect([0, 2_600, 2_601].map((now) => stop.takes(endless, now))).toEqual([true, true, false]);
    const shorter = { ...endless, tokens: 5 };
    const short = { ...endless, deadline: 7_600 };
    const other = { ...endless, service: 'other' };
    expect([shorter, short, other].map((work) => stop.takes(work, 2_601))).toEqual([
      true,
      true,
      true,
    ]);
  });

  test('repeats after the limit if they are expected to end in time', () => {
    const stop = withAnswers(900);
    stop.begin(0, 0);
    expect([6_600, 6_601].map((now) => stop.fits(endless, now))).toEqual([true, false]);
  });

  test('a second signal changes nothing', () => {
    const stop = withAnswers();
    stop.begin(0, 0);
    stop.begin(5_000, 5_000);
    expect(stop.acceptsUntil).toBe(3_000);
  });

  test('nothing after the end of a short grace period', () => {
    const stop = PlannedStop.create({ ...durations, finishMs: 1_000 }, AnswerTimes.create());
    stop.begin(0, 0);
    expect(stop.acceptsUntil).toBe(1_000);
  });
});

describe('expected time of an answer', () => {
  test('nine in ten of the latest answers end within it', () => {
    const times = AnswerTimes.create();
    Array.from({ length: 1_000 }, (_, index) =>
      times.record('s', { firstByteMs: index < 900 ? 9_000 : index - 900, restMs: 0, tokens: 0 }),
    );
    // The latest 64 are 36 to 99 ms.
    expect(times.expectedMs('s', 0)).toBe(93);
    expect(times.expectedMs('unknown', 0)).toBe(0);
  });

  test('grows with the tokens that a request asks for', () => {
    const times = AnswerTimes.create();
    times.record('s', { firstByteMs: 50, restMs: 400, tokens: 100 });
    expect([50, 200].map((tokens) => times.expectedMs('s', tokens))).toEqual([250, 850]);
  });
});

// Guards against a signal that a busy or paused process handles late and takes for a new one.
test('the time of a signal is not after the tick before the last', () => {
  const ticks = LoopTicks.create(0);
  ticks.tick(50);
  ticks.tick(100);
  expect(ticks.signalledAfter).toBe(50);
  // Paused from 110 on, a signal at 200, timers first at 900, then the signal.
  ticks.tick(900);
  expect(ticks.signalledAfter).toBe(100);
});
