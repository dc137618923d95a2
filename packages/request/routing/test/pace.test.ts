import { FakeEndpoint, replay, type ReplayOptions } from './pace-replay';

const slots = 12;
const coldAnswers = 24;

/** Share of the load of the other endpoints from which on an endpoint carries its part. */
const fairShare = 0.8;

/** Time at which a replay changes the endpoints, in ms; the daemons know the others by then. */
const changesAt = 8_000;

/** Time from the change on in which requests count, in ms. */
const usualWatchedMs = 6_000;

/** Endpoints that have run for long when the replay begins. */
const settled = (count: number) =>
  Array.from(
    { length: count },
    (_, index) => new FakeEndpoint({ id: `e${index}`, bornAt: index + 1, slots }, 0),
  );

const fresh = (id: string, bornAt: number) => new FakeEndpoint({ id, bornAt, slots }, coldAnswers);

const sum = (values: readonly number[]) => values.reduce((a, b) => a + b, 0);

const count = (endpoints: readonly FakeEndpoint[]) => ({
  late: sum(endpoints.map((one) => one.late)),
  rejected: sum(endpoints.map((one) => one.rejected)),
});

/** Runs a replay and describes what happened at the endpoints that `watched` names. */
const describeReplay = (
  options: Omit<ReplayOptions, 'onStep'>,
  watched: readonly FakeEndpoint[],
  watchedMs = usualWatchedMs,
) => {
  let shareMs: number | undefined;
  let most = 0;
  let before = { late: 0, rejected: 0 };
  let at = { late: 0, rejected: 0 };
  const onStep = (now: number, live: readonly FakeEndpoint[]) => {
    if (now <= changesAt) before = count(watched);
    if (now >= changesAt && now < changesAt + watchedMs) {
      most = Math.max(most, ...watched.map((one) => one.inFlight));
      at = count(watched);
    }
    if (now < changesAt || shareMs !== undefined) return;
    const others = live.filter((one) => !watched.includes(one));
    const usual = sum(others.map((one) => one.inFlight)) / Math.max(1, others.length);
    const carried = sum(watched.map((one) => one.inFlight)) / watched.length;
    if (carried >= fairShare * usual) shareMs = now - changesAt;
  };
  replay({ ...options, onStep });
  const late = at.late - before.late;
  return { shareMs, most, late, rejected: at.rejected - before.rejected };
};

const line = (result: ReturnType<typeof describeReplay>, showsShare: boolean) =>
  [
    ...(showsShare ? [`share after ${result.shareMs ?? '-'} ms`] : []),
    `most in flight ${result.most}`,
    `late ${result.late}`,
    `rejected ${result.rejected}`,
  ].join('; ');

const compare = (run: (paced: boolean) => ReturnType<typeof describeReplay>, showsShare = true) => {
  const [before, after] = [run(false), run(true)];
  const lines = { before: line(before, showsShare), after: line(after, showsShare) };
  expect(lines).toMatchSnapshot();
  return { before, after };
};

// Guards against a new endpoint that every daemon takes for the best one at the same time, and
// against one that stays idle.
test.each([1, 30, 300])('one fresh endpoint among thirty, seen by %i daemons', (daemons) => {
  const { before, after } = compare((paced) => {
    const old = settled(29);
    const added = fresh('new', 1_000);
    const endpoints = (now: number) => (now < changesAt ? old : [...old, added]);
    const options = { daemons, requestsPerS: 260, untilMs: 20_000, endpoints, paced };
    return describeReplay(options, [added]);
  });
  expect(after.shareMs).toBeDefined();
  expect(after.most).toBeLessThanOrEqual(before.most);
  expect(after.rejected).toBe(0);
});

// Guards against a release in which each new process gets a burst, or in which the new processes
// stay idle and the remaining old ones are overloaded.
test('a release replaces twelve endpoints one by one', () => {
  const everyMs = 3_000;
  const { before, after } = compare((paced) => {
    const old = settled(12);
    const replacements = old.map((_, index) => fresh(`e${index}`, 1_000 + index));
    const endpoints = (now: number) => {
      const replaced = Math.max(0, Math.floor((now - changesAt) / everyMs) + 1);
      return [...replacements.slice(0, replaced), ...old.slice(replaced)];
    };
    const untilMs = changesAt + 13 * everyMs;
    const options = { daemons: 30, requestsPerS: 80, untilMs, endpoints, paced };
    return describeReplay(options, [...old, ...replacements], untilMs - changesAt);
  }, false);
  expect(after.late).toBeLessThanOrEqual(before.late);
  expect(after.rejected).toBeLessThanOrEqual(before.rejected);
});

// Guards against endpoints that stay closed while the ones that went on are overloaded, and against
// a burst to those that return.
test('half of a service returns at the same time', () => {
  const { before, after } = compare((paced) => {
    const old = settled(6);
    const returned = old.map((_, index) => fresh(`r${index}`, 1_000 + index));
    const endpoints = (now: number) => (now < changesAt ? old : [...old, ...returned]);
    const options = { daemons: 30, requestsPerS: 45, untilMs: 20_000, endpoints, paced };
    return describeReplay(options, returned);
  });
  expect(after.shareMs).toBeDefined();
  expect(after.most).toBeLessThanOrEqual(before.most);
});

// Guards against requests to an endpoint that reports to be slow, and against one that is left idle
// for long after it has recovered.
test.each([1, 6, 30])('an endpoint slows down and recovers, seen by %i daemons', (daemons) => {
  const slowUntil = changesAt + 4_000;
  const takenAfterwards = { before: 0, after: 0 };
  const { before, after } = compare((paced) => {
    const others = settled(11);
    const workTimePercent = (now: number) => (now >= changesAt && now < slowUntil ? 400 : 100);
    const slow = new FakeEndpoint({ id: 'slow', bornAt: 100, slots }, 0, workTimePercent);
    const taken = { slow: 0, others: 0 };
    const endpoints = (now: number) => {
      if (now === slowUntil) {
        taken.slow = slow.taken;
        taken.others = sum(others.map((one) => one.taken));
      }
      return [...others, slow];
    };
    const untilMs = slowUntil + 6_000;
    const options = { daemons, requestsPerS: 80, untilMs, endpoints, paced };
    const result = describeReplay(options, [slow], 10_000);
    const usual = (sum(others.map((one) => one.taken)) - taken.others) / others.length;
    takenAfterwards[paced ? 'after' : 'before'] = (slow.taken - taken.slow) / usual;
    return result;
  }, false);
  const share = (value: number) => `${Math.round(value * 100)}% of the usual load once recovered`;
  expect(Object.values(takenAfterwards).map(share)).toMatchSnapshot();
  expect(takenAfterwards.after).toBeGreaterThanOrEqual(takenAfterwards.before);
  // Without requests nobody would learn that the endpoint has recovered.
  expect(after.late - before.late).toBeLessThanOrEqual(slots / 2);
});
