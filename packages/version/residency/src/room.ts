import type { LoadedModel } from '@currantdrift/fleet';
import type { EnginePool } from '@currantdrift/routes';
import type { EngineView } from './engine-view';

/** Memory that a held model and its adapters take, in MB. */
export const memoryOf = ({ name, adapters }: LoadedModel, pool: EnginePool): number => {
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

/** A held model that may be unloaded, and what its loss costs. */
export interface Victim {
  readonly name: string;
  readonly sizeMb: number;
  readonly costMs: number;
}

/** The cheapest of some models whose unloading makes room for `missingMb`; undefined if none do. */
export const makeRoom = (victims: readonly Victim[], missingMb: number): Eviction | undefined => {
  const taken: string[] = [];
  let missing = missingMb;
  let costMs = 0;
  for (const victim of victims) {
    if (missing <= 0) break;
    taken.push(victim.name);
    costMs += victim.costMs;
    missing -= victim.sizeMb;
  }
  return missing <= 0 ? { victims: taken, costMs } : undefined;
};
