import { Demand, estimateReadyMs, planAdapter, planLoad } from '../src';
import { addWaitingRequest, engine, loaded, loadMs, planInput } from './plan-input';

const onDisk = (...models: string[]) => ({ inMemory: [], onDisk: models });

/** Demand with a number of arrivals per second for a model. */
const busyDemand = (model: string, ratePerS: number): Demand => {
  const demand = Demand.create();
  for (let at = 0; at <= 20_000; at += 500) {
    demand.recordArrivals('s', model, ratePerS / 2, at);
  }
  return demand;
};

const now = 20_000;

describe('an engine that limits its requests', () => {
  // Guards against requests that wait for a limited engine while others could load the model.
  test('does not count as a replica of a model with more arrivals than it takes', () => {
    const demand = busyDemand('a', 2);
    addWaitingRequest(demand, 'a', { now, deadline: now + 10_000 });
    const engines = [
      engine('e1', { models: loaded('a'), copies: onDisk('a'), requestLimitPerS: 1 }),
      engine('e2', { copies: onDisk('a') }),
    ];
    const input = planInput(engines, ['a'], { demand });
    expect(planLoad(input, now)).toMatchObject({ engine: 'e2', model: 'a' });
    expect(estimateReadyMs(input, { model: 'a', adapter: undefined, limited: false }, now)).toBe(
      loadMs.disk,
    );
  });

  // Guards against copies of rarely used models that are loaded for nothing.
  test('serves a model with fewer arrivals than it takes', () => {
    const demand = busyDemand('a', 0.1);
    addWaitingRequest(demand, 'a', { now, deadline: now + 10_000 });
    const engines = [
      engine('e1', { models: loaded('a'), copies: onDisk('a'), requestLimitPerS: 1 }),
      engine('e2', { copies: onDisk('a') }),
    ];
    const input = planInput(engines, ['a'], { demand });
    expect(planLoad(input, now)).toBeUndefined();
    expect(estimateReadyMs(input, { model: 'a', adapter: undefined, limited: false }, now)).toBe(0);
  });

  // Guards against requests that wait until their deadline for a replica that has no place for them.
  test('serves no model whose requests find no place in time', () => {
    const demand = busyDemand('a', 0.1);
    addWaitingRequest(demand, 'a', { now, deadline: now + 10_000, limited: true });
    const engines = [
      engine('e1', { models: loaded('a'), copies: onDisk('a'), requestLimitPerS: 1 }),
      engine('e2', { copies: onDisk('a') }),
    ];
    const input = planInput(engines, ['a'], { demand });
    expect(planLoad(input, now)).toMatchObject({ engine: 'e2', reason: 'waiting' });
    const need = { model: 'a', adapter: undefined, limited: true };
    expect(estimateReadyMs(input, need, now)).toBe(loadMs.disk);
  });

  // Guards against replicas of busy models on engines that cannot use them.
  test('gets no further replica of a busy model', () => {
    const engines = [
      engine('e1', { models: loaded('a'), copies: onDisk('a') }),
      engine('e2', { copies: onDisk('a'), requestLimitPerS: 2 }),
      engine('e3', { copies: onDisk('a') }),
    ];
    const input = planInput(engines, ['a'], { demand: busyDemand('a', 3) });
    expect(planLoad(input, now)).toMatchObject({ engine: 'e3', model: 'a', reason: 'busy' });
    const [first, limited] = engines;
    const withoutE3 = planInput([first, limited], ['a'], { demand: busyDemand('a', 3) });
    expect(planLoad(withoutE3, now)).toBeUndefined();
  });

  // Guards against the unload of the last replica that serves a model, for one that hardly does.
  test('does not make the replica of another engine a surplus', () => {
    const demand = busyDemand('a', 0.4);
    addWaitingRequest(demand, 'd', { now, deadline: now + 10_000 });
    const full = engine('e1', {
      models: loaded('a', 'b', 'c'),
      copies: onDisk('a', 'b', 'c', 'd'),
    });
    const limited = engine('e2', { models: loaded('a'), requestLimitPerS: 1 });
    const names = ['a', 'b', 'c', 'd'];
    const planned = (other: typeof limited) =>
      planLoad(planInput([full, other], names, { demand }), now);
    expect(planned(limited)).toMatchObject({ engine: 'e1', model: 'd', unload: ['b'] });
  });

  // Guards against requests that wait for a load whose orders wait at a limited engine.
  test('loads a model only if all engines limit their requests', () => {
    const demand = Demand.create();
    addWaitingRequest(demand, 'a', { now, deadline: now + 20_000 });
    const need = { model: 'a', adapter: undefined, limited: false };
    const limited = engine('e1', { copies: onDisk('a'), requestLimitPerS: 1 });
    const both = planInput([limited, engine('e2')], ['a'], { demand });
    expect(planLoad(both, now)).toMatchObject({ engine: 'e2', source: 'remote', orderMs: 0 });
    expect(estimateReadyMs(both, need, now)).toBeGreaterThanOrEqual(loadMs.remote);
    const alone = planInput([limited], ['a'], { demand });
    expect(planLoad(alone, now)).toMatchObject({ engine: 'e1', source: 'disk', orderMs: 2_000 });
    expect(estimateReadyMs(alone, need, now)).toBe(loadMs.disk + 2_000);
  });

  test('loads an adapter only if no other replica can', () => {
    const demand = Demand.create();
    addWaitingRequest(demand, 'a', { adapter: 'n1', now, deadline: now + 10_000 });
    const engines = [
      engine('e1', { models: loaded('a'), requestLimitPerS: 1 }),
      engine('e2', { models: loaded('a') }),
    ];
    expect(planAdapter(planInput(engines, ['a'], { demand }), now)).toMatchObject({ engine: 'e2' });
  });
});
