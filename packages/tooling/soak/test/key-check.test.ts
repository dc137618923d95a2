import { type Attempt, keyViolations, Kind, type Run } from '../src';

const revocationMs = 5_000;

const attempt: Attempt = {
  id: 'a1',
  kind: Kind.safe,
  process: 'p1',
  start: 1,
  addedIn: undefined,
  sentAt: 10_000,
  endedAt: 10_100,
  status: 200,
  saysLeaving: false,
  endpoint: 'e1',
  sealed: true,
  ownBody: true,
  complete: true,
  events: [],
  expectedEvents: 0,
  stream: 'a1',
  resumedAfter: 0,
  softwareVersions: [],
  canGoOn: false,
  promptParts: [],
  apiKey: 'k1',
  customer: 'c1',
  crashCause: undefined,
};

const run = (change: Partial<Run> = {}): Run => ({
  id: 'a1',
  endpoint: 'e1',
  at: 10_050,
  leavingSince: undefined,
  customer: 'c1',
  showsKey: false,
  ...change,
});

const violations = (runs: readonly Run[], withdrawnAt: number) =>
  keyViolations([attempt], new Map([['a1', runs]]), new Map([['k1', withdrawnAt]]), revocationMs);

test('a key may be used until its withdrawal has been in force for the bound', () => {
  expect(violations([run()], 5_000)).toEqual([]);
});

// Guards against a check that misses a withdrawn key, or an endpoint that learns it or a wrong name.
test('late use, a key at an endpoint and another name break the promise', () => {
  const runs = [run(), run({ showsKey: true }), run({ customer: 'c2' })];
  expect(violations(runs, 4_900)).toMatchSnapshot();
});
