import { SeededRandom } from '@currantdrift/core';
import { VirtualClock } from '@currantdrift/fakes';
import {
  defaultRateLimitSettings,
  type IssuerClient,
  type LimitedEndpoint,
  MemberPermits,
  type PermitDecision,
  PermitIssuer,
  issuerStartMs,
} from '../src';

const endpoint: LimitedEndpoint = { endpoint: 'e1', bornAt: 1, ratePerS: 2 };

/** An issuer that members reach over a link with a delay; it may be silent, frozen or replaced. */
class FakeIssuer implements IssuerClient {
  issuer: PermitIssuer | undefined = PermitIssuer.create(defaultRateLimitSettings);

  delayMs = 5;

  asked = 0;

  constructor(private readonly clock: VirtualClock) {}

  async ask(
    candidates: readonly LimitedEndpoint[],
    maxWaitMs: number,
  ): Promise<PermitDecision | undefined> {
    this.asked += 1;
    await this.clock.sleep(this.delayMs);
    return this.issuer?.acquire(candidates, maxWaitMs, this.clock.now());
  }
}

let clock: VirtualClock;
let issuer: FakeIssuer;
let calls: number[];

const memberPermits = (index: number, members: number) =>
  MemberPermits.create({
    clock,
    random: SeededRandom.create(index),
    settings: defaultRateLimitSettings,
    issuer,
    members: () => members,
  });

/** Calls as often as the permits allow. */
const callUntil = async (permits: MemberPermits, endsAt: number) => {
  while (clock.now() < endsAt) {
    const permit = await permits.acquire([endpoint], 300);
    if (permit.isErr()) await clock.sleep(Math.min(permit.error.retryAfterMs, 400));
    else {
      await clock.sleep(Math.max(0, permit.value.usableAt - clock.now()));
      if (clock.now() <= permit.value.expiresAt) calls.push(clock.now());
    }
  }
};

const callAll = (members: number, endsAt: number) => {
  for (let index = 0; index < members; index += 1) {
    callUntil(memberPermits(index, members), endsAt).catch(() => {});
  }
};

const mostInWindow = () =>
  Math.max(...calls.map((from) => calls.filter((at) => at >= from && at < from + 4_000).length));

const allowed = endpoint.ratePerS * 4 + 1;

beforeEach(() => {
  clock = VirtualClock.create();
  issuer = new FakeIssuer(clock);
  calls = [];
});

test('all members together use the limit and do not exceed it', async () => {
  callAll(8, 20_000);
  await clock.advance(20_000);
  expect(mostInWindow()).toBeLessThanOrEqual(allowed);
  expect(calls.length).toBeGreaterThanOrEqual(endpoint.ratePerS * 0.75 * 20);
});

// Guards against a sum that grows while nobody issues permits, and when the next issuer begins.
test('the sum holds while the issuer is away and when another one begins', async () => {
  callAll(8, 32_000);
  await clock.advance(8_000);
  issuer.issuer = undefined;
  await clock.advance(10_000 + issuerStartMs(defaultRateLimitSettings));
  issuer.issuer = PermitIssuer.create(defaultRateLimitSettings);
  await clock.advance(12_000);
  expect(mostInWindow()).toBeLessThanOrEqual(allowed);
  expect(calls.some((at) => at > 10_500 && at < 20_000)).toBe(true);
});

// Guards against calls of a suspended process that come late and all at once.
test('neither a late answer nor a late use counts', async () => {
  const permits = memberPermits(1, 8);
  const prompt = permits.acquire([endpoint], 0);
  await clock.advance(10);
  const permit = (await prompt)._unsafeUnwrap();
  expect(permit).toMatchSnapshot();
  issuer.delayMs = 1_500;
  const late = permits.acquire([endpoint], 0);
  await clock.advance(1_600);
  expect((await late)._unsafeUnwrapErr()).toEqual({ kind: 'refused', retryAfterMs: 200 });
});

// Guards against requests that each wait for an issuer that does not answer.
test('an issuer that does not answer is not asked by every request', async () => {
  const permits = memberPermits(1, 8);
  issuer.issuer = undefined;
  for (let index = 0; index < 10; index += 1) {
    const asked = permits.acquire([endpoint], 0);
    await clock.advance(20);
    await asked;
  }
  expect(issuer.asked).toBe(1);
});
