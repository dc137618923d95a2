import { HostState } from '@currantdrift/core';
import { endpointRecord } from '@currantdrift/fakes';
import { EndpointDirectory, type EndpointRecord } from '../src';

const record = (change: Partial<EndpointRecord>): EndpointRecord =>
  endpointRecord({ models: [{ name: 'm1', adapters: [] }], ...change });

const replicas = (directory: EndpointDirectory, model: string, now: number) =>
  directory.replicas('s', model, undefined, now).map(({ id }) => id);

// Guards against an older entry of an engine that brings back a model which was unloaded since.
test('the inventory goes before the record until it is old', () => {
  const directory = EndpointDirectory.create();
  directory.put(record({}));
  const inventory = { endpoint: 'e1', bornAt: 1, models: [{ name: 'm2', adapters: ['a1'] }] };
  directory.applyInventories([inventory], 0);
  directory.put(record({}));
  expect([replicas(directory, 'm1', 100), replicas(directory, 'm2', 100)]).toEqual([[], ['e1']]);
  expect([replicas(directory, 'm1', 9_000), replicas(directory, 'm2', 9_000)]).toEqual([
    ['e1'],
    [],
  ]);
});

// Guards against an inventory of an engine that has started again under the same id.
test('an inventory of another start is ignored', () => {
  const directory = EndpointDirectory.create();
  directory.put(record({ bornAt: 2, models: [] }));
  directory.applyInventories(
    [{ endpoint: 'e1', bornAt: 1, models: [{ name: 'm1', adapters: [] }] }],
    0,
  );
  expect(replicas(directory, 'm1', 1)).toEqual([]);
});

// Guards against requests to endpoints that leave, and to those of another service.
test('leaving endpoints are no replicas', () => {
  const directory = EndpointDirectory.create();
  [
    record({ id: 'e1', state: HostState.leaving }),
    record({ id: 'e2' }),
    record({ id: 'e3', service: 'other' }),
  ].forEach((one) => directory.put(one));
  expect(replicas(directory, 'm1', 1)).toEqual(['e2']);
});

// Guards against sending again to an engine that has just said that it lacks the adapter.
test('a refused adapter is forgotten, and its model stays', () => {
  const directory = EndpointDirectory.create();
  directory.put(record({ models: [{ name: 'm1', adapters: ['a1', 'a2'] }] }));
  directory.forget('e1', 'm1', 'a1', 5);
  expect(directory.models('e1', 6)).toEqual([{ name: 'm1', adapters: ['a2'] }]);
  directory.forget('e1', 'm1', undefined, 7);
  expect(directory.models('e1', 8)).toEqual([]);
});
