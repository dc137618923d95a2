import { endpointRecord, VirtualClock } from '@currantdrift/fakes';
import { EndpointDirectory, type EngineReport } from '@currantdrift/fleet';
import { ok } from 'neverthrow';
import {
  type EngineControl,
  type EngineOrder,
  OrderResponse,
} from '../src/connection/engine-control';
import { PauseAwareEngineControl } from '../src/connection/pause-aware-engine-control';

const report: EngineReport = {
  bornAt: 1,
  models: [],
  busy: false,
  orderCount: 0,
  copies: { inMemory: [], onDisk: [] },
};

const order: EngineOrder = {
  kind: 'load',
  model: 'm1',
  adapter: undefined,
  orderCount: 0,
  holder: 'h1',
  fence: 1,
};

// Guards against calls to an engine that has asked this process to pause.
test('an engine that asked for a pause gets no calls until the pause ends', async () => {
  const clock = VirtualClock.create();
  const directory = EndpointDirectory.create();
  const record = endpointRecord({ id: 'e1', bornAt: 1 });
  directory.put(record);
  const calls: string[] = [];
  const engine: EngineControl = {
    report: async () => {
      calls.push('report');
      return ok(report);
    },
    order: async () => {
      calls.push('order');
      return ok(OrderResponse.accepted);
    },
  };
  const control = PauseAwareEngineControl.create(engine, directory, clock);
  const useAll = async () => [
    (await control.report(record)).isOk(),
    (await control.order(record, order, () => true)).isOk(),
  ];
  directory.pause('e1', 1, clock.now() + 1_000);
  expect(await useAll()).toEqual([false, false]);
  expect(calls).toEqual([]);
  await clock.advance(1_000);
  expect(await useAll()).toEqual([true, true]);
});
