import {
  type DomainView,
  type Endpoint,
  FailureKind,
  NoopTelemetry,
  SeededRandom,
} from '@currantdrift/core';
import { VirtualClock } from '@currantdrift/fakes';
import { CrashLedger, CrashWatch, EngineState } from '@currantdrift/quarantine';
import { err } from 'neverthrow';
import { RequestGuard } from '../src/request/request-guard';

const call = {
  requestId: 'r1',
  service: 'ledger',
  call: 'book',
  method: 'POST',
  query: '',
  contentType: 'application/json',
  body: Buffer.from('{}'),
  traceparent: '',
};

/** An endpoint that ends before it answers a call. */
const endpointOf = (id: string) =>
  ({
    id,
    call: async () =>
      err({ kind: FailureKind.unknown, step: 'call', peer: id, message: 'connection closed' }),
  }) as unknown as Endpoint;

// Guards against calls of plain services that crash endpoint after endpoint as their callers repeat them.
test('a call that ended three endpoints is held back, another one is not', async () => {
  const clock = VirtualClock.create();
  const crashes = CrashWatch.create({
    clock,
    random: SeededRandom.create(1),
    telemetry: NoopTelemetry.create(),
    ledger: CrashLedger.create(SeededRandom.create(1)),
    probe: async () => EngineState.ended,
    publishCrash: () => {},
    publishCleared: () => {},
    members: () => 1,
  });
  const view = { endpoint: () => undefined } as unknown as DomainView;
  const guardOf = (digest: string) =>
    RequestGuard.create({ clock, crashes, view, pool: 'ledger', promptParts: [], digest });
  const heldBack = [];
  for (const endpoint of ['l1', 'l2', 'l3']) {
    const guard = guardOf('deadly');
    heldBack.push(guard.check(clock.now())?.step);
    await clock.settle(guard.watch(endpointOf(endpoint)).call(call, new AbortController().signal));
    await clock.advance(100);
  }
  heldBack.push(guardOf('deadly').check(clock.now())?.step);
  expect(heldBack).toEqual([undefined, undefined, undefined, 'request_held_back']);
  expect(guardOf('sound').check(clock.now())).toBeUndefined();
});
