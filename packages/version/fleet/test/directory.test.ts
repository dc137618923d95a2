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

describe("an endpoint's own word that it leaves", () => {
  // Guards against a record that lags and brings back an endpoint which is about to end.
  test('goes before its record for the rest of that start', () => {
    const directory = EndpointDirectory.create();
    directory.put(record({}));
    expect([directory.markLeaving('e1', 1), directory.markLeaving('e1', 1)]).toEqual([true, false]);
    expect(replicas(directory, 'm1', 1)).toEqual([]);
    directory.put(record({}));
    expect(replicas(directory, 'm1', 1)).toEqual([]);
    directory.remove('e1');
    directory.put(record({}));
    expect(replicas(directory, 'm1', 1)).toEqual([]);
  });

  // Guards against a new start under the same id that is never used.
  test('does not concern another start', () => {
    const directory = EndpointDirectory.create();
    directory.put(record({}));
    directory.markLeaving('e1', 1);
    directory.put(record({ bornAt: 2 }));
    expect(replicas(directory, 'm1', 1)).toEqual(['e1']);
  });

  // Guards against a notice that comes before the record.
  test('holds when it is known before the record', () => {
    const directory = EndpointDirectory.create();
    directory.markLeaving('e1', 1);
    directory.put(record({}));
    expect(replicas(directory, 'm1', 1)).toEqual([]);
  });
});

describe('a pause that an endpoint asks for', () => {
  test('lasts to the latest end, and through newer records and inventories', () => {
    const directory = EndpointDirectory.create();
    directory.put(record({}));
    directory.pause('e1', 1, 500);
    directory.pause('e1', 1, 300);
    directory.put(record({ slots: 3 }));
    directory.applyInventories([{ endpoint: 'e1', bornAt: 1, models: [] }], 10);
    directory.removeModel('e1', 'm1', undefined, 20);
    expect(directory.pausedUntil('e1')).toBe(500);
  });

  // Guards against a new start that is left alone for what the one before it asked.
  test('ends with the start that asked for it', () => {
    const directory = EndpointDirectory.create();
    directory.put(record({}));
    directory.pause('e1', 1, 500);
    directory.put(record({ bornAt: 2 }));
    directory.pause('e1', 1, 900);
    expect(directory.pausedUntil('e1')).toBe(-Infinity);
  });
});

// Guards against sending again to an engine that has just said that it lacks the adapter.
test('a refused adapter is forgotten, and its model stays', () => {
  const directory = EndpointDirectory.create();
  directory.put(record({ models: [{ name: 'm1', adapters: ['a1', 'a2'] }] }));
  directory.removeModel('e1', 'm1', 'a1', 5);
  expect(directory.models('e1', 6)).toEqual([{ name: 'm1', adapters: ['a2'] }]);
  directory.removeModel('e1', 'm1', undefined, 7);
  expect(directory.models('e1', 8)).toEqual([]);
});
