import { Demand, estimateReady, estimateReadyMs, LoadPromises, planLoad } from '../src';
import { addWaitingRequest, engine, loaded, loadMs, planInput, pool } from './plan-input';

const names = ['a', 'b', 'c', 'd', 'e', 'f'];
const onDisk = (...models: string[]) => ({ inMemory: [], onDisk: models });
const need = (model: string) => ({ model, adapter: undefined, limited: false, priority: 1 });

const waitingFor = (...models: string[]): Demand => {
  const demand = Demand.create();
  models.forEach((model) => addWaitingRequest(demand, model));
  return demand;
};

describe('the forecast of queued loads', () => {
  // Guards against the same promise for each of the models that one engine has to load.
  test('models with copies on the same engine are ready one after another', () => {
    const engines = [engine('e1', { copies: onDisk('a', 'b', 'c') })];
    const input = planInput(engines, names, { demand: waitingFor('a', 'b', 'c') });
    const ready = ['a', 'b', 'c'].map((model) => estimateReadyMs(input, need(model), 0));
    expect(ready).toEqual([loadMs.disk, 2 * loadMs.disk, 3 * loadMs.disk]);
  });

  // Guards against a promise of one load time while no model can be unloaded.
  test('an engine whose models are in use is free after their runs', () => {
    const models = loaded('a', 'b', 'c');
    const inFlight = new Map(['a', 'b', 'c'].map((name) => [name, 1]));
    const busy = engine('e1', { models, inFlight, copies: onDisk('d', 'e') });
    const queued = planInput([busy], names, { demand: waitingFor('d', 'e') });
    const { expectedRunMs } = queued.settings;
    const readyMs = estimateReadyMs(queued, need('d'), 0);
    expect(readyMs).toBeGreaterThanOrEqual(expectedRunMs + loadMs.disk);
    const alone = planInput([busy], names);
    expect(estimateReadyMs(alone, need('d'), 0)).toBe(loadMs.disk);
  });

  // Guards against estimates as if the weight store served all loads at once.
  test('loads from the weight store share its capacity', () => {
    const engines = ['e1', 'e2', 'e3', 'e4'].map((id) => engine(id));
    const demand = waitingFor('a', 'b', 'c', 'd');
    const input = planInput(engines, names, { demand, remoteCapacity: 2 });
    const ready = ['a', 'b', 'c', 'd'].map((model) => estimateReadyMs(input, need(model), 0));
    const { remote } = loadMs;
    expect(ready).toEqual([remote, remote, 2 * remote, 2 * remote]);
  });

  // Guards against a request that is told a time at which its model's place in the queue is not reached.
  test('a request that is not registered yet is placed behind the queue', () => {
    const engines = [engine('e1', { copies: onDisk('a', 'b') })];
    const input = planInput(engines, names, { demand: waitingFor('a') });
    expect(estimateReady(input, need('b'), 0)).toEqual({
      readyMs: 2 * loadMs.disk,
      source: 'disk',
      isQueued: true,
    });
  });
});

describe('the order of needed models', () => {
  // Guards against a load from the weight store that occupies the only engine while loads from its disk
  // would serve more requests in the same time.
  test('loads that serve more requests per time go first', () => {
    const demand = waitingFor('a', 'a', 'b');
    const input = planInput([engine('e1', { copies: onDisk('b') })], names, { demand });
    expect(planLoad(input, 0)).toMatchObject({ model: 'b', source: 'disk' });
  });

  // Guards against requests that wait although another engine could load their model as well.
  test('a further engine loads a model for which more requests wait than one has slots', () => {
    const operation = { kind: 'load', model: 'a', endsAt: 900, remote: false } as const;
    const engines = [engine('e1', { operation }), engine('e2', { copies: onDisk('a') })];
    const planned = (requests: number) => {
      const demand = waitingFor(...Array<string>(requests).fill('a'));
      return planLoad(planInput(engines, names, { demand }), 0);
    };
    expect(planned(pool(names).slots)).not.toMatchObject({ model: 'a' });
    expect(planned(pool(names).slots + 1)).toMatchObject({ engine: 'e2', model: 'a' });
  });

  // Guards against a model that is unloaded before the requests that were refused for it return.
  test('a model is kept for a minimum time after its load while models are queued', () => {
    const full = (loadedAt: number) =>
      engine('e1', {
        models: loaded('a'),
        copies: onDisk('a', 'b', 'c'),
        loadedAt: new Map([['a', loadedAt]]),
      });
    const planned = (loadedAt: number, ...waiting: string[]) => {
      const input = planInput([full(loadedAt)], names, { demand: waitingFor(...waiting) });
      return planLoad({ ...input, pool: pool(names, 1) }, 10);
    };
    expect(planned(0, 'b', 'c')).toBeUndefined();
    expect(planned(-10_000, 'b', 'c')).toMatchObject({ model: 'b', unload: ['a'] });
    expect(planned(0, 'b')).toMatchObject({ model: 'b', unload: ['a'] });
  });
});

describe('promises', () => {
  const queued = { readyMs: 1_000, source: 'disk', isQueued: true } as const;
  const ready = planInput([engine('e1', { models: loaded('a') })], names);

  // Guards against a constant error of the forecast that each further promise repeats.
  test('estimates of queued loads are corrected by what came', () => {
    const promises = LoadPromises.create();
    for (let load = 0; load < 20; load += 1) {
      promises.record('s', 'a', queued, load * 10_000);
      const [settled] = promises.settle(ready, load * 10_000 + 2_400);
      if (load === 0) expect(settled).toMatchObject({ promisedMs: 1_000, ratio: 2.4 });
    }
    const { readyMs, retryAfterMs } = promises.promise(queued);
    expect(readyMs).toBeCloseTo(2_000);
    expect(retryAfterMs).toBeCloseTo(2_400);
    expect(promises.promise({ ...queued, isQueued: false }).retryAfterMs).toBe(1_000);
    expect(promises.promise({ ...queued, source: 'remote' }).readyMs).toBe(1_000);
  });

  // Guards against promises that stay open, or count as kept, when no request waits any more.
  test('a promise for which no request waits is closed', () => {
    const promises = LoadPromises.create();
    const unready = planInput([engine('e1')], names);
    promises.record('s', 'a', queued, 0);
    promises.record('s', 'b', queued, 0);
    addWaitingRequest(unready.demand, 'b', { now: 3_000 });
    expect(promises.settle(unready, 3_000)).toMatchObject([{ model: 'a', isReady: false }]);
    expect(promises.settle(ready, 3_000)).toEqual([expect.objectContaining({ model: 'b' })]);
  });
});
