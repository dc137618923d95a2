import { type Attempt, Kind, lostStreamViolations, mixedStreamViolations } from '../src';

const attempt = (change: Partial<Attempt>): Attempt => ({
  id: 'a1',
  kind: Kind.resumable,
  process: 'p1',
  start: 1,
  addedIn: undefined,
  sentAt: 0,
  endedAt: 100,
  status: 200,
  saysLeaving: false,
  endpoint: 'e1',
  sealed: true,
  ownBody: true,
  complete: true,
  events: [1],
  expectedEvents: 12,
  stream: 'a1',
  resumedAfter: 0,
  softwareVersions: ['v1'],
  canGoOn: false,
  promptParts: [],
  apiKey: 'k1',
  customer: 'c1',
  crashCause: undefined,
  ...change,
});

test('events of two software versions in one answer, or over two tries, break the promise', () => {
  const mixed = attempt({ id: 'a2', stream: 'a2', softwareVersions: ['v1', 'v2'] });
  const takenUp = attempt({ id: 'a3', resumedAfter: 1, softwareVersions: ['v2'] });
  expect(mixedStreamViolations([attempt({}), mixed, takenUp])).toMatchSnapshot();
});

test('a stream that goes on at its own version keeps the promise', () => {
  const refused = attempt({ id: 'a2', resumedAfter: 1, softwareVersions: [], events: [] });
  const takenUp = attempt({ id: 'a3', resumedAfter: 1 });
  expect(mixedStreamViolations([attempt({}), refused, takenUp])).toEqual([]);
});

// Guards against a check that is content when every stream that is taken up is refused.
test('streams must go on half as often as new ones begin', () => {
  const takenUp = (begun: number) =>
    Array.from({ length: 12 }, (_, index) =>
      attempt({ resumedAfter: 1, canGoOn: true, events: index < begun ? [2] : [] }),
    );
  expect(lostStreamViolations([attempt({}), ...takenUp(6)])).toEqual([]);
  expect(lostStreamViolations([attempt({}), ...takenUp(5)])).toMatchSnapshot();
});
