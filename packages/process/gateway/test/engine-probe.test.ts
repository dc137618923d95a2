import { type Failure, FailureKind, HostState } from '@currantdrift/core';
import { endpointRecord, VirtualClock } from '@currantdrift/fakes';
import { EndpointDirectory, type EngineReport } from '@currantdrift/fleet';
import { err, ok, type Result } from 'neverthrow';
import type { EngineControl } from '../src/connection/engine-control';
import { EngineProbe } from '../src/connection/engine-probe';

const failure = (kind: FailureKind): Result<EngineReport, Failure> =>
  err({ kind, step: 'engine.report', peer: 'e1', message: 'fault of the test' });

const report = ok({ bornAt: 1 } as EngineReport);

const request = { service: 's', endpoint: 'e1', bornAt: 1, promptParts: [], digest: 'r1' };

/** What a probe says of an engine that gives these reports, one after the other. */
const check = async (
  reports: readonly Result<EngineReport, Failure>[],
  record = endpointRecord({ id: 'e1', bornAt: 1 }),
) => {
  const clock = VirtualClock.create();
  const directory = EndpointDirectory.create();
  directory.put(record);
  const left = [...reports];
  const control = { report: async () => left.shift() } as unknown as EngineControl;
  const state = await clock.settle(EngineProbe.create(control, directory, clock).check(request));
  return `${state}, ${reports.length - left.length} asked`;
};

// Guards against resets, cuts and pauses of engines that serve on as a reason to refuse prompts.
test('only an engine that takes no connection, or breaks two in a row, has ended', async () => {
  const { unreachable, unknown, refused, invalid } = FailureKind;
  expect({
    answers: await check([report]),
    'takes no connection': await check([failure(unreachable)]),
    'breaks one answer': await check([failure(unknown), report]),
    'breaks two answers': await check([failure(unknown), failure(unknown)]),
    'asks for a pause': await check([failure(refused)]),
    'answers something else': await check([failure(invalid)]),
  }).toMatchSnapshot();
});

test('an engine that leaves as planned is not asked, one with another start has ended', async () => {
  const leaving = endpointRecord({ id: 'e1', bornAt: 1, state: HostState.leaving });
  expect(await check([report], leaving)).toBe('unknown, 0 asked');
  expect(await check([report], endpointRecord({ id: 'e1', bornAt: 2 }))).toBe('ended, 0 asked');
});

// Guards against a planned end as evidence against the requests that it broke off.
test('an engine that has left as planned and has no record any more has not crashed', async () => {
  const clock = VirtualClock.create();
  const directory = EndpointDirectory.create();
  directory.put(endpointRecord({ id: 'e1', bornAt: 1 }));
  directory.markLeaving('e1', 1);
  directory.remove('e1');
  const control = { report: async () => report } as unknown as EngineControl;
  const probe = EngineProbe.create(control, directory, clock);
  expect(await clock.settle(probe.check(request))).toBe('unknown');
  expect(await clock.settle(probe.check({ ...request, bornAt: 2 }))).toBe('ended');
});
