import { defaultRateLimitSettings, type LimitedEndpoint, PermitIssuer } from '../src';

const settings = { ...defaultRateLimitSettings, issuedShare: 0.8, memberShare: 0.2 };

const e1 = (ratePerS: number, bornAt = 1): LimitedEndpoint => ({
  endpoint: 'e1',
  bornAt,
  ratePerS,
});

const create = () => PermitIssuer.create(settings);

/** Times of the calls that are permitted when one is asked for every `periodMs`. */
const callTimes = (
  issuer: PermitIssuer,
  endpoint: LimitedEndpoint,
  periodMs: number,
  endsAt: number,
) => {
  const times: number[] = [];
  for (let now = 0; now < endsAt; now += periodMs) {
    const decision = issuer.acquire([endpoint], 0, now);
    if (decision.kind === 'granted') times.push(now);
  }
  return times;
};

/** Highest number of times in a window. */
const mostWithin = (times: readonly number[], windowMs: number): number =>
  Math.max(...times.map((from) => times.filter((at) => at >= from && at < from + windowMs).length));

// Guards against a sum of calls above the limit, whatever the number of callers.
test.each([0.3, 1, 4, 20, 300])('never more calls than a limit of %d a second allows', (rate) => {
  const times = callTimes(create(), e1(rate), 1, 20_000);
  expect(mostWithin(times, 4_000)).toBeLessThanOrEqual(rate * 4 + 1);
  expect(times.length).toBeGreaterThanOrEqual(Math.floor(rate * 20 * 0.75));
});

test('calls queue up in the order in which they asked, as long as each can wait', () => {
  const issuer = create();
  const decisions = [0, 1, 2, 3, 4].map((now) => issuer.acquire([e1(1)], 3_000, now));
  expect(decisions).toMatchSnapshot();
});

// Guards against returns that come before a call can be permitted.
test('a refusal gives the time of the next free call', () => {
  const issuer = create();
  issuer.acquire([e1(1)], 0, 0);
  expect(issuer.acquire([e1(1)], 500, 100)).toEqual({ kind: 'refused', retryAfterMs: 900 });
  expect(issuer.acquire([e1(1)], 0, 1_000)).toMatchObject({ kind: 'granted', waitMs: 0 });
});

test('of several endpoints the one that is free first is taken', () => {
  const issuer = create();
  const endpoints = [e1(1), { endpoint: 'e2', bornAt: 1, ratePerS: 1 }];
  const taken = [0, 1, 2].map((now) => issuer.acquire(endpoints, 0, now));
  expect(taken).toMatchObject([{ endpoint: 'e1' }, { endpoint: 'e2' }, { kind: 'refused' }]);
});

test('a limit that rises or falls moves the next call accordingly', () => {
  const issuer = create();
  issuer.acquire([e1(0)], 0, 0);
  expect(issuer.acquire([e1(5)], 0, 1_000)).toMatchObject({ kind: 'refused', retryAfterMs: 225 });
  issuer.acquire([e1(5)], 250, 1_000);
  expect(issuer.acquire([e1(0.5)], 0, 1_000)).toMatchObject({ retryAfterMs: 4_750 });
});

// Guards against an endpoint that takes nothing and is never asked again.
test('an endpoint that takes no requests is tried every some seconds', () => {
  const times = callTimes(create(), e1(0), 100, 60_000);
  expect(times).toHaveLength(5);
});

test('a new start of an endpoint has a schedule of its own', () => {
  const issuer = create();
  issuer.acquire([e1(0.5)], 0, 0);
  expect(issuer.acquire([e1(0.5, 2)], 0, 1)).toMatchObject({ kind: 'granted' });
});
