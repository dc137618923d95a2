import { endpointRecord, VirtualClock } from '@currantdrift/fakes';
import { EndpointDirectory } from '@currantdrift/fleet';
import { PauseAwareEngineControl } from '../src/connection/pause-aware-engine-control';
import { order, willingEngine } from './engine-calls';

// Guards against calls to an engine that has asked this process to pause.
test('an engine that asked for a pause gets no calls until the pause ends', async () => {
  const clock = VirtualClock.create();
  const directory = EndpointDirectory.create();
  const record = endpointRecord({ id: 'e1', bornAt: 1 });
  directory.put(record);
  const calls: string[] = [];
  const engine = willingEngine((kind) => calls.push(kind));
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
