import { SeededRandom } from '@currantdrift/core';
import { type Quota, QuotaUnit } from '@currantdrift/routes';
import {
  allowancesOf,
  type BucketLimits,
  decisionTimeoutMs,
  type HeldRole,
  type QuotaBounds,
  QuotaAccounts,
  QuotaRole,
} from '../src';
import { bounds, tokenQuota } from './fleet';

const owner: HeldRole = { role: QuotaRole.owner, since: 0 };

const question = (costs: number[], ahead = 0, unused = 0) => ({
  member: 'h1',
  costs,
  ahead,
  unused,
});

const create = () => QuotaAccounts.create(bounds, SeededRandom.create(1));

const ask = (
  quotas: QuotaAccounts,
  quota: Quota,
  asked: ReturnType<typeof question>,
  now: number,
) => quotas.lease('acme', quota, asked, owner, now);

/** The most that members may grant for use in one window, as `allowancesOf` lists it. */
const mostUsed = (quota: Quota, within: QuotaBounds): number => {
  const { owner: full, standIn, maxAhead } = allowancesOf(quota, within);
  const spanS = (within.windowMs + decisionTimeoutMs) / 1_000;
  const of = ({ ratePerS, capacity }: BucketLimits, seconds: number) =>
    capacity + ratePerS * seconds;
  return of(full, spanS) + maxAhead + 2 * of(standIn, spanS);
};

// Guards against allowances that add up to more than the bounds, whatever these are.
test.each([
  { ratePerS: 30_000, burst: 30_000, within: bounds },
  { ratePerS: 2_000, burst: 0, within: bounds },
  { ratePerS: 30_000, burst: 60_000, within: { ...bounds, excess: 0, slack: 0 } },
  { ratePerS: 30_000, burst: 0, within: { windowMs: 1_000, excess: 0.5, slack: 0 } },
])('an owner and its stand-ins share what a quota allows', ({ ratePerS, burst, within }) => {
  const quota = tokenQuota(ratePerS, burst);
  const { windowMs, excess, slack } = within;
  const allowed = ((ratePerS * windowMs) / 1_000 + burst) * (1 + excess) + slack;
  expect(mostUsed(quota, within)).toBeCloseTo(allowed, 5);
  expect(allowancesOf(quota, within).owner.capacity).toBeGreaterThanOrEqual(burst);
});

// Guards against a bucket that was filled at the former quota.
test('a lower quota applies at once', () => {
  const quotas = create();
  ask(quotas, tokenQuota(30_000), question([1]), 60_000);
  const lowered = tokenQuota(1_000, 0);
  const { capacity } = allowancesOf(lowered, bounds).owner;
  const waitsMs = ask(quotas, lowered, question([capacity, 950]), 60_000)?.waitsMs ?? [];
  expect(waitsMs.map((waitMs) => Math.round(waitMs ?? NaN))).toEqual([0, 1_000]);
});

test('a refusal states when the tokens will be there, after those of requests refused before', () => {
  const quotas = create();
  const { ratePerS, capacity } = allowancesOf(tokenQuota(1_000), bounds).owner;
  const decision = ask(quotas, tokenQuota(1_000), question([capacity, 950, 950]), 60_000);
  expect(ratePerS).toBe(950);
  expect(decision).toMatchObject({ waitsMs: [0, 1_000, 2_000] });
});

// Guards against a request that is refused for good since it costs more than the bucket holds.
test('a full bucket grants any request, which later ones wait for', () => {
  const quotas = create();
  const quota: Quota = { unit: QuotaUnit.requests, ratePerS: 0.5, burst: 0, plainCost: 0 };
  const waits = [60_000, 60_001].map((now) => ask(quotas, quota, question([1]), now)?.waitsMs[0]);
  expect(waits[0]).toBe(0);
  expect(waits[1]).toBeGreaterThan(1_000);
});

// Guards against tokens that are given back twice, and by members that have none.
test('tokens are taken back once', () => {
  const quotas = create();
  const quota = tokenQuota(10_000);
  const grant = ask(quotas, quota, question([1_000]), 60_000)?.grant as number;
  const returned = { grant, tokens: 800 };
  const accepted = [60_100, 70_000, 70_001].map((now) => quotas.takeBack('acme', returned, now));
  expect(accepted).toEqual([800, 200, 0]);
  expect(quotas.takeBack('acme', { grant: grant + 1, tokens: 1 }, 60_100)).toBe(0);
});

// Guards against members that hold a large part of the quota without using it.
test('tokens for requests to come are limited over all members', () => {
  const quotas = create();
  const quota = tokenQuota(10_000);
  const { maxAhead } = allowancesOf(quota, bounds);
  const ahead = ['h1', 'h2'].map((member) =>
    ask(quotas, quota, { ...question([1], maxAhead * 0.75), member }, 60_000),
  );
  expect(ahead.map((decision) => Math.round(decision?.ahead ?? 0))).toEqual([
    Math.round(maxAhead * 0.75),
    Math.round(maxAhead * 0.25),
  ]);
});

// Guards against a bucket that refills while tokens are on their way back, and holds them twice.
test('tokens that are given back leave what the bucket would hold without their grant', () => {
  const quotas = create();
  const quota = tokenQuota(10_000);
  const { capacity } = allowancesOf(quota, bounds).owner;
  const first = ask(quotas, quota, question([capacity]), 60_000)?.grant as number;
  expect(ask(quotas, quota, question([capacity]), 70_000)).toMatchObject({ waitsMs: [0] });
  expect(quotas.takeBack('acme', { grant: first, tokens: capacity }, 70_000)).toBe(capacity);
  expect(ask(quotas, quota, question([1_000]), 70_000)).not.toMatchObject({ waitsMs: [0] });
});
