import { Demand, planAdapter, planLoad, estimateReadyMs, targetReplicas } from '../src';
import { awaitModel, engine, held, loadMs, pool, situation } from './situation';

const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const onDisk = (...models: string[]) => ({ inMemory: [], onDisk: models });

describe('requests wait for models that no engine holds', () => {
  // Guards against two models that displace each other before either has served its requests.
  test('a model that requests wait for is not evicted, also right after its load', () => {
    const demand = Demand.create();
    awaitModel(demand, 'a');
    awaitModel(demand, 'd');
    const full = engine('e1', { models: held('a', 'b', 'c'), copies: onDisk(...names) });
    const step = planLoad(situation([full], names, { demand }), 10);
    expect(step).toMatchObject({ model: 'd', reason: 'waiting' });
    expect(step).toHaveProperty('unload', expect.not.arrayContaining(['a']));
    const all = Demand.create();
    ['a', 'b', 'c', 'd'].forEach((model) => awaitModel(all, model));
    expect(planLoad(situation([full], names, { demand: all }), 10)).toBeUndefined();
  });

  // Guards against a load from the weight store where a copy is at hand.
  test('the engine with a copy loads the model', () => {
    const demand = Demand.create();
    awaitModel(demand, 'd');
    const engines = [
      engine('e1', { models: held('a') }),
      engine('e2', { models: held('a', 'b', 'c'), copies: onDisk('a', 'b', 'c', 'd') }),
    ];
    expect(planLoad(situation(engines, names, { demand }), 0)).toMatchObject({
      engine: 'e2',
      source: 'disk',
    });
  });

  // Guards against seven seconds at the weight store when a copy is free in two.
  test('an engine with a copy that is occupied for a moment is waited for', () => {
    const demand = Demand.create();
    awaitModel(demand, 'd');
    const occupied = (endsAt: number) => [
      engine('e1'),
      engine('e2', {
        copies: onDisk('d'),
        operation: { kind: 'load', model: 'a', endsAt, remote: false },
      }),
    ];
    const at = (endsAt: number) =>
      planLoad(situation(occupied(endsAt), ['a', 'd'], { demand, remoteLoads: 1 }), 0);
    expect(at(1_000)).toBeUndefined();
    expect(at(9_000)).toMatchObject({ engine: 'e1', source: 'remote' });
  });

  // Guards against loads from the weight store right after a hand-over, in place of copies on disks.
  test('an engine that is left alone after a hand-over counts with its copies and models', () => {
    const demand = Demand.create();
    awaitModel(demand, 'd');
    const pause = { kind: 'pause', model: '', endsAt: 3_000, remote: false } as const;
    const engines = [
      engine('e1'),
      engine('e2', { copies: onDisk('d'), models: held('a'), operation: pause }),
    ];
    const state = situation(engines, ['a', 'd'], { demand, remoteLoads: 1 });
    expect(planLoad(state, 0)).toBeUndefined();
    expect(estimateReadyMs(state, 'd', undefined, 0)).toBe(3_000 + loadMs.disk);
    expect(estimateReadyMs(state, 'a', undefined, 0)).toBe(0);
  });

  // Guards against more loads at once than the weight store carries at full speed.
  test('loads from the weight store are bounded, the most awaited model first', () => {
    const demand = Demand.create();
    awaitModel(demand, 'a');
    awaitModel(demand, 'b');
    awaitModel(demand, 'b');
    const engines = [engine('e1'), engine('e2')];
    const first = situation(engines, names, { demand, remoteLoads: 3 });
    expect(planLoad(first, 0)).toMatchObject({ model: 'b', source: 'remote' });
    expect(planLoad({ ...first, remoteLoads: 4 }, 0)).toBeUndefined();
  });

  // Guards against a queue in which every answer is late because the oldest goes first.
  test('a model whose requests can be on time goes before one whose requests are late', () => {
    const demand = Demand.create();
    awaitModel(demand, 'a', { deadline: 4_000, onTimeBy: 500 });
    awaitModel(demand, 'a', { deadline: 4_000, onTimeBy: 600 });
    awaitModel(demand, 'b', { deadline: 20_000, onTimeBy: 2_500 });
    const engines = [engine('e1', { copies: onDisk('a', 'b') })];
    expect(planLoad(situation(engines, names, { demand }), 0)).toMatchObject({ model: 'b' });
  });

  // Guards against interrupting or delaying streams: an unload waits for the runs of its model.
  test('a model in use is not evicted', () => {
    const demand = Demand.create();
    awaitModel(demand, 'd');
    const inFlight = new Map(['a', 'b', 'c'].map((name) => [name, 1]));
    const busy = engine('e1', { models: held('a', 'b', 'c'), copies: onDisk('d'), inFlight });
    expect(planLoad(situation([busy], names, { demand }), 0)).toBeUndefined();
    inFlight.delete('b');
    expect(planLoad(situation([busy], names, { demand }), 0)).toMatchObject({ unload: ['b'] });
  });

  // Guards against requests that wait for a copy on an engine whose models are always in use.
  test('a replica in use gives way if the others carry its load', () => {
    const demand = Demand.create();
    awaitModel(demand, 'd');
    const inFlight = new Map(['a', 'b', 'c'].map((name) => [name, 1]));
    const busy = (id: string, copies: readonly string[]) =>
      engine(id, { models: held('a', 'b', 'c'), copies: onDisk(...copies), inFlight });
    const engines = [busy('e1', ['d']), busy('e2', []), busy('e3', [])];
    const step = planLoad(situation(engines, names, { demand }), 0);
    expect(step).toMatchObject({ engine: 'e1', model: 'd', source: 'disk' });
  });

  // Guards against more memory than an engine has, also while another load is under way.
  test('an engine that is leaving or occupied gets no load', () => {
    const demand = Demand.create();
    awaitModel(demand, 'd');
    const operation = { kind: 'load', model: 'a', endsAt: 90_000, remote: false } as const;
    const engines = [engine('e1', { leaving: true }), engine('e2', { operation })];
    expect(planLoad(situation(engines, names, { demand }), 0)).toBeUndefined();
  });
});

describe('demand moves to a model that few engines hold', () => {
  const busy = (rate: number) => {
    const demand = Demand.create();
    demand.recordArrivals('s', 'a', rate * 8, 0);
    return demand;
  };

  // Guards against a busy model that stays on one engine because every other holds models that were
  // asked for a moment ago.
  test('in a severe shortage models that were used lately give way', () => {
    const demand = busy(16);
    ['b', 'c', 'd'].forEach((model) => demand.recordArrivals('s', model, 2, 0));
    const engines = [
      engine('e1', { models: held('a'), inFlight: new Map([['a', 12]]) }),
      engine('e2', { models: held('b', 'c', 'd'), copies: onDisk('a', 'b', 'c', 'd') }),
    ];
    const step = planLoad(situation(engines, names, { demand }), 0);
    expect(step).toMatchObject({ engine: 'e2', model: 'a', reason: 'busy' });
  });

  // Guards against one engine that serves a model alone while others are idle.
  test('the model gets more replicas, on engines that are not busy', () => {
    const demand = busy(8);
    demand.recordArrivals('s', 'b', 40, 0);
    const engines = [
      engine('e1', { models: held('a') }),
      engine('e2', { models: held('b'), copies: onDisk('a') }),
      engine('e3', { copies: onDisk('a') }),
    ];
    const state = situation(engines, names, { demand });
    expect(targetReplicas(state, 'a', 0)).toBeGreaterThan(2);
    expect(planLoad(state, 0)).toMatchObject({ engine: 'e3', model: 'a', reason: 'busy' });
  });

  // Guards against a busy model that is left on one engine because others are always awaited.
  test('a severe shortage goes before requests for models that nobody holds', () => {
    const demand = busy(20);
    awaitModel(demand, 'd');
    const engines = [
      engine('e1', { models: held('a') }),
      engine('e2', { copies: onDisk('a', 'd') }),
    ];
    const state = situation(engines, names, { demand });
    expect(planLoad(state, 0)).toMatchObject({ model: 'a', reason: 'busy' });
    const slight = situation(engines, names, { demand: busy(1) });
    awaitModel(slight.demand, 'd');
    expect(planLoad(slight, 0)).toMatchObject({ model: 'd', reason: 'waiting' });
  });

  // Guards against replicas that stay when the demand has moved on.
  test('surplus replicas give way first', () => {
    const demand = Demand.create();
    awaitModel(demand, 'd');
    const engines = [
      engine('e1', { models: held('a', 'b', 'c'), copies: onDisk('a', 'b', 'c', 'd') }),
      engine('e2', { models: held('b'), copies: onDisk('b') }),
    ];
    expect(planLoad(situation(engines, names, { demand }), 0)).toMatchObject({ unload: ['b'] });
  });
});

describe('no engine has a copy of a model', () => {
  // Guards against an idle weight store while models without a copy will be asked for.
  test('copies are fetched ahead, four at once before the first request and one later', () => {
    const engines = [engine('e1', { models: held('a') }), engine('e2')];
    const state = situation(engines, ['a', 'b'], { remoteLoads: 1 });
    expect(planLoad({ ...state, beforeDemand: true }, 0)).toMatchObject({
      model: 'b',
      reason: 'copy',
    });
    expect(planLoad(state, 0)).toBeUndefined();
    expect(planLoad({ ...state, remoteLoads: 0 }, 0)).toMatchObject({ model: 'b' });
  });

  // Guards against occupying the engine that alone can load other models soon.
  test('the engine that has the only copy of other models is spared', () => {
    const engines = [
      engine('e1', { copies: onDisk('b', 'c', 'd') }),
      engine('e2', { copies: onDisk('b') }),
    ];
    expect(planLoad(situation(engines, ['a', 'b', 'c', 'd']), 0)).toMatchObject({
      engine: 'e2',
      model: 'a',
    });
  });
});

describe('estimates', () => {
  const models = ['a', 'b', 'c', 'd', 'e', 'f'];

  // Guards against refusing what can be served, and against accepting what can't.
  test('the time until a model is ready', () => {
    const demand = Demand.create();
    ['c', 'd', 'e', 'f'].forEach((model) => awaitModel(demand, model));
    const operation = { kind: 'load', model: 'b', endsAt: 500, remote: false } as const;
    const engines = [
      engine('e1', { models: held('a'), operation }),
      engine('e2', { copies: onDisk('c') }),
    ];
    const state = situation(engines, models, { demand, remoteLoads: 4 });
    const ready = (model: string) => estimateReadyMs(state, model, undefined, 100);
    expect(ready('a')).toBe(0);
    expect(ready('b')).toBe(400);
    expect(ready('c')).toBe(loadMs.disk);
    expect(ready('f')).toBeGreaterThan(loadMs.remote);
    expect(ready('unknown')).toBeUndefined();
    expect(estimateReadyMs(state, 'a', 'a1', 100)).toBe(400);
  });
});

describe('adapters', () => {
  // Guards against more adapters than an engine has slots for, counting those on their way.
  test('an unused adapter gives way, one in use stays', () => {
    const demand = Demand.create();
    awaitModel(demand, 'a', { adapter: 'n3' });
    const holding = (inFlight: Map<string, number>) =>
      engine('e1', { models: [{ name: 'a', adapters: ['n1', 'n2'] }], inFlight });
    const steps = (inFlight: Map<string, number>) =>
      planAdapter(situation([holding(inFlight)], names, { demand }), 0);
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

  // Guards against two orders that unload the same adapter, of which the second does nothing.
  test('each adapter gives way to one other', () => {
    const demand = Demand.create();
    awaitModel(demand, 'a', { adapter: 'n3' });
    awaitModel(demand, 'a', { adapter: 'n4' });
    demand.recordAdapterUse('s', 'a', 'n1', 5);
    const full = engine('e1', { models: [{ name: 'a', adapters: ['n1', 'n2'] }] });
    const first = planAdapter(situation([full], names, { demand }), 10);
    expect(first).toMatchObject({ adapter: 'n3', unload: [{ adapter: 'n2' }] });
    const begun = engine('e1', {
      models: [{ name: 'a', adapters: ['n1'] }],
      adapterLoads: new Set(['a/n3']),
    });
    const second = planAdapter(situation([begun], names, { demand }), 10);
    expect(second).toMatchObject({ adapter: 'n4', unload: [{ adapter: 'n1' }] });
  });

  // Guards against a second order for an adapter that is on its way, and against orders that an
  // engine refuses because it loads a model.
  test('each adapter is ordered once, at an engine that takes orders', () => {
    const demand = Demand.create();
    awaitModel(demand, 'a', { adapter: 'n1' });
    const operation = { kind: 'load', model: 'b', endsAt: 500, remote: false } as const;
    const occupied = engine('e1', { models: held('a'), operation });
    const loading = engine('e2', { models: held('a'), adapterLoads: new Set(['a/n1']) });
    expect(planAdapter(situation([occupied], names, { demand }), 0)).toBeUndefined();
    expect(planAdapter(situation([loading], names, { demand }), 0)).toBeUndefined();
    const free = engine('e3', { models: held('a') });
    expect(planAdapter(situation([occupied, free], names, { demand }), 0)).toMatchObject({
      engine: 'e3',
      adapter: 'n1',
    });
  });
});

// Guards against an overcommitted engine, whatever the plan is asked for.
test('no step asks for more memory than an engine has', () => {
  const demand = Demand.create();
  names.forEach((model) => awaitModel(demand, model));
  const full = engine('e1', { models: held('a', 'b', 'c'), copies: onDisk(...names) });
  const small = { ...situation([full], names, { demand: Demand.create() }), pool: pool(names, 0) };
  expect(planLoad(small, 0)).toBeUndefined();
});
