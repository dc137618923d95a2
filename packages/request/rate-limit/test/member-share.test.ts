import { SeededRandom } from '@currantdrift/core';
import { defaultRateLimitSettings, MemberShare } from '../src';

const settings = { ...defaultRateLimitSettings, issuedShare: 0.8, memberShare: 0.2 };

const endpoint = (ratePerS: number) => ({ endpoint: 'e1', bornAt: 1, ratePerS });

/** Times of the calls of members that all ask every 50 ms from the time 0 on. */
const callTimes = (members: number, ratePerS: number, endsAt: number): number[] => {
  const shares = Array.from({ length: members }, (_, index) =>
    MemberShare.create(settings, SeededRandom.create(index)),
  );
  const times: number[] = [];
  for (let now = 0; now < endsAt; now += 50) {
    shares.forEach((share) => {
      const decision = share.acquire([endpoint(ratePerS)], members, 0, now);
      if (decision.kind === 'granted') times.push(now);
    });
  }
  return times;
};

// Guards against members that all lose the issuer at once and then call at once.
test.each([
  [8, 1],
  [8, 20],
  [195, 20],
])('%d members without an issuer stay far below a limit of %d a second', (members, ratePerS) => {
  const endsAt = 40_000;
  const times = callTimes(members, ratePerS, endsAt);
  const mostInWindow = Math.max(
    0,
    ...times.map((from) => times.filter((at) => at >= from && at < from + 4_000).length),
  );
  expect(mostInWindow).toBeLessThanOrEqual(ratePerS * 4);
  expect(times.length).toBeLessThanOrEqual(ratePerS * 0.2 * (endsAt / 1_000) + members);
});

test('a member with nobody else uses its share', () => {
  expect(callTimes(1, 10, 10_000).length).toBeGreaterThanOrEqual(18);
});

test('a refusal gives the time of the next call', () => {
  const share = MemberShare.create(settings, { next: () => 0.5 });
  expect(share.acquire([endpoint(1)], 8, 100, 0)).toEqual({
    kind: 'refused',
    retryAfterMs: expect.closeTo(20_000, 3),
  });
  expect(share.acquire([endpoint(1)], 8, 100, 19_950)).toEqual({
    kind: 'granted',
    endpoint: 'e1',
    waitMs: expect.closeTo(50, 3),
  });
});
