import { type Arrival, type Limit, limitViolations } from '../src';

const settleMs = 3_000;

const limit: Limit = { endpoint: 'e1', ratePerS: 1, firstAt: 0, from: 0, to: 60_000 };

const arrival = (at: number, change: Partial<Arrival> = {}): Arrival => ({
  endpoint: 'e1',
  at,
  request: `r${at}`,
  holder: undefined,
  start: 1,
  process: 'g1',
  answeredAt: at,
  saysLimit: true,
  ...change,
});

const every = (periodMs: number, change: Partial<Arrival> = {}) =>
  Array.from({ length: 20_000 / periodMs }, (_, index) => arrival(index * periodMs, change));

const violations = (arrivals: readonly Arrival[], isExcused = () => false) =>
  limitViolations([limit], arrivals, settleMs, isExcused).map(({ at, text }) => `${at} ${text}`);

test('a process that keeps to the limit breaks nothing', () => {
  expect(violations(every(1_000))).toEqual([]);
});

test('one that goes on as before breaks it', () => {
  expect(violations(every(250))).toMatchSnapshot();
});

// Guards against a check that judges each process alone.
test('processes that each keep to the limit break it together', () => {
  const arrivals = ['g1', 'g2', 'g3', 'g4'].flatMap((process) => every(1_000, { process }));
  expect(violations(arrivals)).toMatchSnapshot();
});

test('processes that were told of no limit are not counted', () => {
  expect(violations(every(250, { saysLimit: false }))).toEqual([]);
});

test('a new start of a process counts from when it is told again', () => {
  const arrivals = every(500).map((one, index) => ({ ...one, start: index }));
  expect(violations(arrivals)).toEqual([]);
});

test('calls that do not tell who sent them count', () => {
  const reports = every(300, { process: undefined, request: undefined, start: undefined });
  expect(violations(reports)).toMatchSnapshot();
});

test('excused calls are not counted', () => {
  expect(violations(every(250), () => true)).toEqual([]);
});
