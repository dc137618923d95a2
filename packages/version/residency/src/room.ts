import type { HeldModel } from '@currantdrift/fleet';
import type { EnginePool } from '@currantdrift/routes';
import type { EngineView } from './engine-view';

/** Memory that a held model and its adapters take, in MB. */
export const memoryOf = ({ name, adapters }: HeldModel, pool: EnginePool): number => {
  const model = pool.models.get(name);
  // A model that the configuration no longer names is assumed to fill the engine.
  if (model === undefined) return pool.memoryMb;
  return model.sizeMb + adapters.length * model.adapterMb;
};

/** Memory of an engine that nothing takes or is about to take, in MB. */
export const freeMemory = (engine: EngineView, pool: EnginePool): number => {
  const held = [...engine.models, ...engine.unloading];
  const taken = held.reduce((sum, model) => sum + memoryOf(model, pool), 0);
  const { operation } = engine;
  const isLoading =
    operation?.kind === 'load' && !engine.models.some(({ name }) => name === operation.model);
  const arriving = isLoading ? memoryOf({ name: operation.model, adapters: [] }, pool) : 0;
  return pool.memoryMb - taken - arriving;
};

/** Models to unload before another fits, and what their loss costs. */
export interface Eviction {
  readonly victims: readonly string[];
  /** Expected extra waiting that the unloads cause, in ms. */
  readonly costMs: number;
}

/** Cost of unloading a held model, in ms; undefined if it must stay. */
export type EvictionCost = (held: HeldModel) => number | undefined;

/** The cheapest models whose unloading makes room for `neededMb`; undefined if none do. */
export const makeRoom = (
  engine: EngineView,
  pool: EnginePool,
  neededMb: number,
  cost: EvictionCost,
): Eviction | undefined => {
  let missing = neededMb - freeMemory(engine, pool);
  const priced = engine.models
    .map((held) => ({ held, cost: cost(held) }))
    .filter((one): one is { held: HeldModel; cost: number } => one.cost !== undefined)
    .sort((a, b) => a.cost - b.cost);
  const victims: string[] = [];
  let costMs = 0;
  priced.forEach((one) => {
    if (missing <= 0) return;
    victims.push(one.held.name);
    costMs += one.cost;
    missing -= memoryOf(one.held, pool);
  });
  return missing <= 0 ? { victims, costMs } : undefined;
};
