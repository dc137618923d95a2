import { EndpointLimits } from '../src';

const e1 = { id: 'e1', bornAt: 1 };

let changes = 0;
let limits: EndpointLimits;

beforeEach(() => {
  changes = 0;
  limits = EndpointLimits.create(() => {
    changes += 1;
  });
});

test('a limit holds until an answer to a later request states none', () => {
  expect(limits.observe(e1, undefined, 0, 10)).toBe(false);
  expect(limits.observe(e1, 2, 20, 30)).toBe(true);
  expect(limits.observe(e1, 2, 40, 50)).toBe(false);
  expect(limits.rate(e1)).toBe(2);
  expect(limits.observe(e1, undefined, 60, 70)).toBe(true);
  expect(limits.rate(e1)).toBeUndefined();
  expect(changes).toBe(2);
});

// Guards against an answer that was sent before the statement in force but arrives after it.
test('an older answer neither ends nor raises nor restores a limit', () => {
  limits.observe(e1, 2, 20, 30);
  limits.observe(e1, undefined, 25, 40);
  limits.observe(e1, 8, 25, 41);
  expect(limits.rate(e1)).toBe(2);
  limits.observe(e1, undefined, 50, 60);
  limits.observe(e1, 2, 55, 70);
  expect(limits.rate(e1)).toBeUndefined();
});

test('of two limits stated at the same time the lower one holds', () => {
  limits.observe(e1, 4, 20, 30);
  limits.observe(e1, 2, 21, 31);
  limits.observe(e1, 3, 22, 32);
  expect(limits.rate(e1)).toBe(2);
});

// Guards against a limit that another instance at the same id inherits.
test('a limit belongs to one start of the endpoint', () => {
  limits.observe(e1, 2, 20, 30);
  const restarted = { id: 'e1', bornAt: 2 };
  expect(limits.rate(restarted)).toBeUndefined();
  limits.observe(restarted, 5, 40, 50);
  limits.observe(e1, 1, 60, 70);
  expect([limits.rate(e1), limits.rate(restarted)]).toEqual([undefined, 5]);
});

describe('what members report to each other', () => {
  const other = EndpointLimits.create(() => {});

  test('a member learns of a limit and of its end', () => {
    other.observe(e1, 0.5, 90, 100);
    limits.merge(other.reports(130), 1_000);
    expect(limits.rate(e1)).toBe(0.5);
    expect(limits.reports(1_010)).toEqual([
      { endpoint: 'e1', bornAt: 1, ratePerS: 0.5, ageMs: 40 },
    ]);
    other.observe(e1, undefined, 200, 210);
    limits.merge(other.reports(220), 1_090);
    expect(limits.rate(e1)).toBeUndefined();
  });

  test('a report that is older than what is known is ignored', () => {
    limits.observe(e1, 2, 500, 600);
    limits.merge([{ endpoint: 'e1', bornAt: 1, ratePerS: null, ageMs: 50 }], 640);
    expect(limits.rate(e1)).toBe(2);
  });

  // Guards against a controller that goes on announcing a limit after its end.
  test('what a report misses is told again', () => {
    limits.observe(e1, 2, 0, 10);
    limits.observe(e1, undefined, 20, 30);
    expect(limits.takeUnreported(40)).toMatchObject([{ ratePerS: null, ageMs: 10 }]);
    limits.merge([{ endpoint: 'e1', bornAt: 1, ratePerS: null, ageMs: 90 }], 100);
    expect(limits.takeUnreported(100)).toEqual([]);
    limits.merge([{ endpoint: 'e1', bornAt: 1, ratePerS: 2, ageMs: 90 }], 110);
    expect(limits.takeUnreported(110)).toMatchObject([{ ratePerS: null, ageMs: 80 }]);
  });

  test('the end of a limit is reported for some seconds only', () => {
    limits.observe(e1, 2, 0, 10);
    limits.observe(e1, undefined, 20, 30);
    expect(limits.reports(5_000)).toHaveLength(1);
    expect(limits.reports(10_040)).toHaveLength(0);
  });
});

// Guards against announcements that grow with every endpoint that ever stated a limit.
test('the limit of an endpoint that has left is forgotten, not that of one whose entry lapsed', () => {
  const e2 = { id: 'e2', bornAt: 1 };
  limits.observe(e1, 2, 0, 10);
  limits.observe(e2, 2, 0, 10);
  limits.retain(new Set(), 1_000);
  limits.retain(new Set(['e2']), 30_000);
  limits.retain(new Set(), 61_000);
  expect([limits.rate(e1), limits.rate(e2)]).toEqual([undefined, 2]);
  expect(limits.reports(61_000)).toHaveLength(1);
});
