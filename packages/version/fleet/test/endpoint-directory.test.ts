import { HostState } from '@currantdrift/core';
import { endpointRecord } from '@currantdrift/fakes';
import { EndpointDirectory, type EndpointRecord } from '../src';

const record = (change: Partial<EndpointRecord>): EndpointRecord =>
  endpointRecord({ models: [{ name: 'm1', adapters: [] }], ...change });

const replicas = (directory: EndpointDirectory, model: string, now: number) =>
  directory.replicas('s', model, undefined, now).map(({ id }) => id);

// Guards against an outdated record that lists a model which has been unloaded since.
test('the inventory overrides the record until it expires', () => {
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

// Guards against using the inventory of an engine that has restarted under the same id.
test('an inventory from before a restart is ignored', () => {
  const directory = EndpointDirectory.create();
  directory.put(record({ bornAt: 2, models: [] }));
  directory.applyInventories(
    [{ endpoint: 'e1', bornAt: 1, models: [{ name: 'm1', adapters: [] }] }],
    0,
  );
  expect(replicas(directory, 'm1', 1)).toEqual([]);
});

// Guards against requests to leaving endpoints and to endpoints of another service.
test('leaving endpoints are not replicas', () => {
  const directory = EndpointDirectory.create();
  [
    record({ id: 'e1', state: HostState.leaving }),
    record({ id: 'e2' }),
    record({ id: 'e3', service: 'other' }),
  ].forEach((one) => directory.put(one));
  expect(replicas(directory, 'm1', 1)).toEqual(['e2']);
});

describe('an endpoint that announced that it is leaving', () => {
  // Guards against a lagging record that lists an endpoint as live which is about to stop.
  test('stays leaving until it restarts, whatever its record says', () => {
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

  // Guards against an endpoint that is never used again after a restart under the same id.
  test('is live after a restart', () => {
    const directory = EndpointDirectory.create();
    directory.put(record({}));
    directory.markLeaving('e1', 1);
    directory.put(record({ bornAt: 2 }));
    expect(replicas(directory, 'm1', 1)).toEqual(['e1']);
  });

  // Guards against losing an announcement that arrives before the record.
  test('is leaving even if the announcement arrives before the record', () => {
    const directory = EndpointDirectory.create();
    directory.markLeaving('e1', 1);
    directory.put(record({}));
    expect(replicas(directory, 'm1', 1)).toEqual([]);
  });
});

describe('a pause that an endpoint requests', () => {
  test('lasts until the latest end, and is kept by newer records and inventories', () => {
    const directory = EndpointDirectory.create();
    directory.put(record({}));
    directory.pause('e1', 1, 500);
    directory.pause('e1', 1, 300);
    directory.put(record({ slots: 3 }));
    directory.applyInventories([{ endpoint: 'e1', bornAt: 1, models: [] }], 10);
    directory.removeModel('e1', 'm1', undefined, 20);
    expect(directory.pausedUntil('e1')).toBe(500);
  });

  // Guards against a pause that is forgotten when the entry lapses and comes back.
  test('holds while the record is away and when it is back', () => {
    const directory = EndpointDirectory.create();
    directory.put(endpointRecord({ id: 'e1', bornAt: 1 }));
    directory.pause('e1', 1, 500);
    directory.remove('e1');
    expect(directory.pausedUntil('e1')).toBe(-Infinity);
    directory.put(endpointRecord({ id: 'e1', bornAt: 1 }));
    expect(directory.pausedUntil('e1')).toBe(500);
  });

  // Guards against a pause that still applies after a restart.
  test('ends when the endpoint restarts', () => {
    const directory = EndpointDirectory.create();
    directory.put(record({}));
    directory.pause('e1', 1, 500);
    directory.put(record({ bornAt: 2 }));
    directory.pause('e1', 1, 900);
    expect(directory.pausedUntil('e1')).toBe(-Infinity);
  });
});

// Guards against sending again to an engine that has just reported that the adapter is not loaded.
test('a refused adapter is removed, and its model stays', () => {
  const directory = EndpointDirectory.create();
  directory.put(record({ models: [{ name: 'm1', adapters: ['a1', 'a2'] }] }));
  directory.removeModel('e1', 'm1', 'a1', 5);
  expect(directory.models('e1', 6)).toEqual([{ name: 'm1', adapters: ['a2'] }]);
  directory.removeModel('e1', 'm1', undefined, 7);
  expect(directory.models('e1', 8)).toEqual([]);
});
