import { Demand, planAdapter, planLoad, estimateReadyMs, targetReplicas } from '../src';
import { addWaitingRequest, engine, loaded, loadMs, planInput, pool } from './plan-input';

const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const onDisk = (...models: string[]) => ({ inMemory: [], onDisk: models });

describe('requests wait for models that no engine has loaded', () => {
  // Guards against two models that evict each other before either has served its requests.
  test('a model that requests wait for is not evicted, even right after its load', () => {
    const demand = Demand.create();
    addWaitingRequest(demand, 'a');
    addWaitingRequest(demand, 'd');
    const full = engine('e1', { models: loaded('a', 'b', 'c'), copies: onDisk(...names) });
    const step = planLoad(planInput([full], names, { demand }), 10);
    expect(step).toMatchObject({ model: 'd', reason: 'waiting' });
    expect(step).toHaveProperty('unload', expect.not.arrayContaining(['a']));
    const all = Demand.create();
    ['a', 'b', 'c', 'd'].forEach((model) => addWaitingRequest(all, model));
    expect(planLoad(planInput([full], names, { demand: all }), 10)).toBeUndefined();
  });

  // Guards against a load from the weight store when an engine has a copy.
  test('the engine with a copy loads the model', () => {
    const demand = Demand.create();
    addWaitingRequest(demand, 'd');
    const engines = [
      engine('e1', { models: loaded('a') }),
      engine('e2', { models: loaded('a', 'b', 'c'), copies: onDisk('a', 'b', 'c', 'd') }),
    ];
    expect(planLoad(planInput(engines, names, { demand }), 0)).toMatchObject({
      engine: 'e2',
      source: 'disk',
    });
  });

  // Guards against a load of seven seconds from the weight store when an engine with a copy could have
  // the model ready in less than three.
  test('the plan waits for an occupied engine with a copy if that is faster', () => {
    const demand = Demand.create();
    addWaitingRequest(demand, 'd');
    const occupied = (endsAt: number) => [
      engine('e1'),
      engine('e2', {
        copies: onDisk('d'),
        operation: { kind: 'load', model: 'a', endsAt, remote: false },
      }),
    ];
    const at = (endsAt: number) =>
      planLoad(planInput(occupied(endsAt), ['a', 'd'], { demand, remoteLoads: 1 }), 0);
    expect(at(1_000)).toBeUndefined();
    expect(at(9_000)).toMatchObject({ engine: 'e1', source: 'remote' });
  });

  // Guards against loads from the weight store right after a change of controller, although paused
  // engines have copies on disk.
  test('the copies and models of a paused engine count', () => {
    const demand = Demand.create();
    addWaitingRequest(demand, 'd');
    const pause = { kind: 'pause', model: '', endsAt: 3_000, remote: false } as const;
    const engines = [
      engine('e1'),
      engine('e2', { copies: onDisk('d'), models: loaded('a'), operation: pause }),
    ];
    const state = planInput(engines, ['a', 'd'], { demand, remoteLoads: 1 });
    expect(planLoad(state, 0)).toBeUndefined();
    expect(estimateReadyMs(state, { model: 'd', adapter: undefined, limited: false }, 0)).toBe(
      3_000 + loadMs.disk,
    );
    expect(estimateReadyMs(state, { model: 'a', adapter: undefined, limited: false }, 0)).toBe(0);
  });

  // Guards against more concurrent loads than the weight store serves at full speed.
  test('loads from the weight store are limited, the most requested model first', () => {
    const demand = Demand.create();
    addWaitingRequest(demand, 'a');
    addWaitingRequest(demand, 'b');
    addWaitingRequest(demand, 'b');
    const engines = [engine('e1'), engine('e2')];
    const first = planInput(engines, names, { demand, remoteLoads: 3 });
    expect(planLoad(first, 0)).toMatchObject({ model: 'b', source: 'remote' });
    expect(planLoad({ ...first, remoteLoads: 4 }, 0)).toBeUndefined();
  });

  // Guards against a queue in which every response is late because the oldest request goes first.
  test('a model whose requests can be on time goes before one whose requests are late', () => {
    const demand = Demand.create();
    addWaitingRequest(demand, 'a', { deadline: 4_000, onTimeDeadline: 500 });
    addWaitingRequest(demand, 'a', { deadline: 4_000, onTimeDeadline: 600 });
    addWaitingRequest(demand, 'b', { deadline: 20_000, onTimeDeadline: 2_500 });
    const engines = [engine('e1', { copies: onDisk('a', 'b') })];
    expect(planLoad(planInput(engines, names, { demand }), 0)).toMatchObject({ model: 'b' });
  });

  // Guards against interrupted or delayed streams: an unload waits for the running requests of its
  // model.
  test('a model in use is not evicted', () => {
    const demand = Demand.create();
    addWaitingRequest(demand, 'd');
    const inFlight = new Map(['a', 'b', 'c'].map((name) => [name, 1]));
    const busy = engine('e1', { models: loaded('a', 'b', 'c'), copies: onDisk('d'), inFlight });
    expect(planLoad(planInput([busy], names, { demand }), 0)).toBeUndefined();
    inFlight.delete('b');
    expect(planLoad(planInput([busy], names, { demand }), 0)).toMatchObject({ unload: ['b'] });
  });

  // Guards against requests that wait forever for an engine with a copy whose models are always in use.
  test('a replica in use is evicted if the other replicas can serve its load', () => {
    const demand = Demand.create();
    addWaitingRequest(demand, 'd');
    const inFlight = new Map(['a', 'b', 'c'].map((name) => [name, 1]));
    const busy = (id: string, copies: readonly string[]) =>
      engine(id, { models: loaded('a', 'b', 'c'), copies: onDisk(...copies), inFlight });
    const engines = [busy('e1', ['d']), busy('e2', []), busy('e3', [])];
    const step = planLoad(planInput(engines, names, { demand }), 0);
    expect(step).toMatchObject({ engine: 'e1', model: 'd', source: 'disk' });
  });

  // Guards against exceeding the memory of an engine, also while another load is in progress.
  test('an engine that is leaving or occupied gets no load', () => {
    const demand = Demand.create();
    addWaitingRequest(demand, 'd');
    const operation = { kind: 'load', model: 'a', endsAt: 90_000, remote: false } as const;
    const engines = [engine('e1', { leaving: true }), engine('e2', { operation })];
    expect(planLoad(planInput(engines, names, { demand }), 0)).toBeUndefined();
  });
});

describe('demand moves to a model that is loaded on few engines', () => {
  const busy = (rate: number) => {
    const demand = Demand.create();
    demand.recordArrivals('s', 'a', rate * 8, 0);
    return demand;
  };

  // Guards against a busy model that stays on one engine because all others have models loaded that
  // were requested recently.
  test('in a severe shortage recently used models are evicted', () => {
    const demand = busy(16);
    ['b', 'c', 'd'].forEach((model) => demand.recordArrivals('s', model, 2, 0));
    const engines = [
      engine('e1', { models: loaded('a'), inFlight: new Map([['a', 12]]) }),
      engine('e2', { models: loaded('b', 'c', 'd'), copies: onDisk('a', 'b', 'c', 'd') }),
    ];
    const step = planLoad(planInput(engines, names, { demand }), 0);
    expect(step).toMatchObject({ engine: 'e2', model: 'a', reason: 'busy' });
  });

  // Guards against one engine that serves a model alone while others are idle.
  test('a busy model gets more replicas, on engines that are not busy', () => {
    const demand = busy(8);
    demand.recordArrivals('s', 'b', 40, 0);
    const engines = [
      engine('e1', { models: loaded('a') }),
      engine('e2', { models: loaded('b'), copies: onDisk('a') }),
      engine('e3', { copies: onDisk('a') }),
    ];
    const state = planInput(engines, names, { demand });
    expect(targetReplicas(state, 'a', 0)).toBeGreaterThan(2);
    expect(planLoad(state, 0)).toMatchObject({ engine: 'e3', model: 'a', reason: 'busy' });
  });

  // Guards against a busy model that stays on one engine because requests always wait for others.
  test('a severe shortage goes before requests for models that no engine has loaded', () => {
    const demand = busy(20);
    addWaitingRequest(demand, 'd');
    const engines = [
      engine('e1', { models: loaded('a') }),
      engine('e2', { copies: onDisk('a', 'd') }),
    ];
    const state = planInput(engines, names, { demand });
    expect(planLoad(state, 0)).toMatchObject({ model: 'a', reason: 'busy' });
    const slight = planInput(engines, names, { demand: busy(1) });
    addWaitingRequest(slight.demand, 'd');
    expect(planLoad(slight, 0)).toMatchObject({ model: 'd', reason: 'waiting' });
  });

  // Guards against replicas that stay loaded after the demand has moved to other models.
  test('surplus replicas are evicted first', () => {
    const demand = Demand.create();
    addWaitingRequest(demand, 'd');
    const engines = [
      engine('e1', { models: loaded('a', 'b', 'c'), copies: onDisk('a', 'b', 'c', 'd') }),
      engine('e2', { models: loaded('b'), copies: onDisk('b') }),
    ];
    expect(planLoad(planInput(engines, names, { demand }), 0)).toMatchObject({ unload: ['b'] });
  });
});

describe('no engine has a copy of a model', () => {
  // Guards against an idle weight store while models without a copy are still to be requested.
  test('copies are loaded in advance, four at once before the first request and one later', () => {
    const engines = [engine('e1', { models: loaded('a') }), engine('e2')];
    const state = planInput(engines, ['a', 'b'], { remoteLoads: 1 });
    expect(planLoad({ ...state, beforeDemand: true }, 0)).toMatchObject({
      model: 'b',
      reason: 'copy',
    });
    expect(planLoad(state, 0)).toBeUndefined();
    expect(planLoad({ ...state, remoteLoads: 0 }, 0)).toMatchObject({ model: 'b' });
  });

  // Guards against occupying the only engine that can load other models quickly.
  test('the engine that has the only copy of other models is avoided', () => {
    const engines = [
      engine('e1', { copies: onDisk('b', 'c', 'd') }),
      engine('e2', { copies: onDisk('b') }),
    ];
    expect(planLoad(planInput(engines, ['a', 'b', 'c', 'd']), 0)).toMatchObject({
      engine: 'e2',
      model: 'a',
    });
  });
});

describe('estimates', () => {
  const models = ['a', 'b', 'c', 'd', 'e', 'f'];

  // Guards against refusing requests that can be served in time, and accepting those that cannot.
  test('the time until a model is ready', () => {
    const demand = Demand.create();
    ['c', 'd', 'e', 'f'].forEach((model) => addWaitingRequest(demand, model));
    const operation = { kind: 'load', model: 'b', endsAt: 500, remote: false } as const;
    const engines = [
      engine('e1', { models: loaded('a'), operation }),
      engine('e2', { copies: onDisk('c') }),
    ];
    const state = planInput(engines, models, { demand, remoteLoads: 4 });
    const ready = (model: string) =>
      estimateReadyMs(state, { model, adapter: undefined, limited: false }, 100);
    expect(ready('a')).toBe(0);
    expect(ready('b')).toBe(400);
    expect(ready('c')).toBe(loadMs.disk);
    expect(ready('f')).toBeGreaterThan(loadMs.remote);
    expect(ready('unknown')).toBeUndefined();
    expect(estimateReadyMs(state, { model: 'a', adapter: 'a1', limited: false }, 100)).toBe(400);
  });
});

describe('adapters', () => {
  // Guards against more adapters than an engine has slots for, including those being loaded.
  test('an unused adapter is evicted, one in use stays', () => {
    const demand = Demand.create();
    addWaitingRequest(demand, 'a', { adapter: 'n3' });
    const holding = (inFlight: Map<string, number>) =>
      engine('e1', { models: [{ name: 'a', adapters: ['n1', 'n2'] }], inFlight });
    const steps = (inFlight: Map<string, number>) =>
      planAdapter(planInput([holding(inFlight)], names, { demand }), 0);
    expect(steps(new Map([['a/n1', 1]]))).toMatchObject({
      adapter: 'n3',
      unload: [{ model: 'a', adapter: 'n2' }],
    });
    expect(
      steps(
        new Map([
          ['a/n1', 1],
          ['a/n2', 1],
        ]),
      ),
    ).toBeUndefined();
  });

  // Guards against two orders that unload the same adapter, the second without effect.
  test('each adapter is evicted for one other', () => {
    const demand = Demand.create();
    addWaitingRequest(demand, 'a', { adapter: 'n3' });
    addWaitingRequest(demand, 'a', { adapter: 'n4' });
    demand.recordAdapterUse('s', 'a', 'n1', 5);
    const full = engine('e1', { models: [{ name: 'a', adapters: ['n1', 'n2'] }] });
    const first = planAdapter(planInput([full], names, { demand }), 10);
    expect(first).toMatchObject({ adapter: 'n3', unload: [{ adapter: 'n2' }] });
    const begun = engine('e1', {
      models: [{ name: 'a', adapters: ['n1'] }],
      adapterLoads: new Set(['a/n3']),
    });
    const second = planAdapter(planInput([begun], names, { demand }), 10);
    expect(second).toMatchObject({ adapter: 'n4', unload: [{ adapter: 'n1' }] });
  });

  // Guards against a second order for an adapter that is being loaded, and against orders that an
  // engine refuses because it loads a model.
  test('each adapter is ordered once, at an engine that accepts orders', () => {
    const demand = Demand.create();
    addWaitingRequest(demand, 'a', { adapter: 'n1' });
    const operation = { kind: 'load', model: 'b', endsAt: 500, remote: false } as const;
    const occupied = engine('e1', { models: loaded('a'), operation });
    const loading = engine('e2', { models: loaded('a'), adapterLoads: new Set(['a/n1']) });
    expect(planAdapter(planInput([occupied], names, { demand }), 0)).toBeUndefined();
    expect(planAdapter(planInput([loading], names, { demand }), 0)).toBeUndefined();
    const free = engine('e3', { models: loaded('a') });
    expect(planAdapter(planInput([occupied, free], names, { demand }), 0)).toMatchObject({
      engine: 'e3',
      adapter: 'n1',
    });
  });
});

// Guards against overcommitting the memory of an engine, whatever the demand is.
test('no step needs more memory than an engine has', () => {
  const demand = Demand.create();
  names.forEach((model) => addWaitingRequest(demand, model));
  const full = engine('e1', { models: loaded('a', 'b', 'c'), copies: onDisk(...names) });
  const small = { ...planInput([full], names, { demand: Demand.create() }), pool: pool(names, 0) };
  expect(planLoad(small, 0)).toBeUndefined();
});
