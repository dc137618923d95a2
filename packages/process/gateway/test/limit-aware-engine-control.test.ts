import { NoopTelemetry, SeededRandom } from '@currantdrift/core';
import { endpointRecord, VirtualClock } from '@currantdrift/fakes';
import { EndpointLimits } from '@currantdrift/fleet';
import { defaultRateLimitSettings, MemberPermits, PermitIssuer } from '@currantdrift/rate-limit';
import { LimitAwareEngineControl } from '../src/connection/limit-aware-engine-control';
import { order, willingEngine } from './engine-calls';

const settings = { ...defaultRateLimitSettings, issuedShare: 0.8, memberShare: 0.2 };

const create = () => {
  const clock = VirtualClock.create();
  const limits = EndpointLimits.create(() => {});
  const calls: number[] = [];
  const issuer = PermitIssuer.create(settings);
  const control = LimitAwareEngineControl.create({
    control: willingEngine(() => calls.push(clock.now())),
    limits,
    permits: MemberPermits.create({
      clock,
      random: SeededRandom.create(1),
      settings,
      issuer: {
        ask: async (candidates, maxWaitMs) => issuer.acquire(candidates, maxWaitMs, clock.now()),
      },
      members: () => 8,
    }),
    clock,
    telemetry: NoopTelemetry.create(),
  });
  return { clock, limits, calls, control };
};

const record = endpointRecord({ id: 'e1', bornAt: 1 });

// Guards against orders and reports that are sent beyond the limit, which counts every call.
test('orders and reports to a limited engine wait for their permits', async () => {
  const { clock, limits, calls, control } = create();
  limits.observe(record, 2, 0, 1);
  const results = [0, 1, 2, 3, 4].map((index) =>
    index % 2 === 0 ? control.report(record) : control.order(record, order, () => true),
  );
  await clock.advance(10_000);
  const outcomes = (await Promise.all(results)).map((result) => result.isOk());
  expect({ outcomes, calls }).toMatchSnapshot();
});

test('an engine without a limit is called at once', async () => {
  const { calls, control } = create();
  await control.report(record);
  await control.report(record);
  expect(calls).toEqual([0, 0]);
});
