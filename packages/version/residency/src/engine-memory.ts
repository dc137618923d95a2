import type { LoadedModel } from '@currantdrift/fleet';
import type { EnginePool } from '@currantdrift/routes';
import type { EngineView } from './engine-view';

/** Memory that a loaded model and its adapters occupy, in MB. */
export const modelMemoryMb = ({ name, adapters }: LoadedModel, pool: EnginePool): number => {
  const model = pool.models.get(name);
  // A model that was removed from the configuration is assumed to fill the engine.
  if (model === undefined) return pool.memoryMb;
  return model.sizeMb + adapters.length * model.adapterMb;
};

/** Memory of an engine that is neither occupied nor reserved by a load in progress, in MB. */
export const freeMemoryMb = (engine: EngineView, pool: EnginePool): number => {
  const held = [...engine.models, ...engine.unloading];
  const taken = held.reduce((sum, model) => sum + modelMemoryMb(model, pool), 0);
  const { operation } = engine;
  const isLoading =
    operation?.kind === 'load' && !engine.models.some(({ name }) => name === operation.model);
  const loadingMb = isLoading ? modelMemoryMb({ name: operation.model, adapters: [] }, pool) : 0;
  return pool.memoryMb - taken - loadingMb;
};

/** Models to unload so that another one fits, with the cost. */
export interface Eviction {
  readonly victims: readonly string[];
  /** Expected additional waiting time of requests, in ms. */
  readonly costMs: number;
  /** Expected time until the running requests of the victims have ended, in ms. */
  readonly drainMs: number;
}

/** A loaded model that may be unloaded, with the cost of its eviction. */
export interface Victim {
  readonly name: string;
  readonly sizeMb: number;
  readonly costMs: number;
  readonly drainMs: number;
}

/**
 * Takes victims in their order, the cheapest first, until `missingMb` are freed; undefined if all of
 * them together are too small.
 */
export const selectVictims = (
  victims: readonly Victim[],
  missingMb: number,
): Eviction | undefined => {
  const taken: string[] = [];
  let missing = missingMb;
  let costMs = 0;
  let drainMs = 0;
  for (const victim of victims) {
    if (missing <= 0) break;
    taken.push(victim.name);
    costMs += victim.costMs;
    drainMs = Math.max(drainMs, victim.drainMs);
    missing -= victim.sizeMb;
  }
  return missing <= 0 ? { victims: taken, costMs, drainMs } : undefined;
};
