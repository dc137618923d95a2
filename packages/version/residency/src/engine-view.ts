import type { LoadedModel, ModelCopies } from '@currantdrift/fleet';

/** An operation during which an engine accepts no load or unload order. */
export interface EngineOperation {
  /**
   * `pause`: no orders are sent for a while, because orders of the previous controller may still be
   * in progress.
   */
  readonly kind: 'load' | 'pause';
  /** Empty for a pause. */
  readonly model: string;
  /** Expected end, on the controller's clock, in ms. */
  readonly endsAt: number;
  /** Whether the weights come from the weight store. */
  readonly remote: boolean;
}

/** The controller's view of an engine. */
export interface EngineView {
  readonly id: string;
  readonly service: string;
  readonly domain: string;
  /** True once no further models may be loaded on the engine. */
  readonly leaving: boolean;
  readonly models: readonly LoadedModel[];
  /** Models that receive no more requests but occupy memory until their unload is complete. */
  readonly unloading: readonly LoadedModel[];
  readonly copies: ModelCopies;
  /** Ends of the loads that this controller ordered, by model, on its clock, in ms. */
  readonly loadedAt: ReadonlyMap<string, number>;
  /** Load in progress or about to be ordered, including its unloads; an engine runs one at a time. */
  readonly operation: EngineOperation | undefined;
  /** Adapters with a load in progress, as `model/adapter`. */
  readonly adapterLoads: ReadonlySet<string>;
  /** Requests in flight by model and by `model/adapter`, summed over all daemons. */
  readonly inFlight: ReadonlyMap<string, number>;
  /** Requests per second that it takes from all daemons together; undefined if it has no limit. */
  readonly requestLimitPerS: number | undefined;
}

/** Key of an adapter in `EngineView.inFlight`. */
export const adapterKey = (model: string, adapter: string): string => `${model}/${adapter}`;

export const hasLoadedModel = (engine: EngineView, model: string): boolean =>
  engine.models.some(({ name }) => name === model);

const copiedModelsCache = new WeakMap<ModelCopies, readonly string[]>();

/** Models of which an engine has a copy in memory or on disk, without duplicates. */
export const copiedModels = (copies: ModelCopies): readonly string[] => {
  const found = copiedModelsCache.get(copies);
  if (found !== undefined) return found;
  const names = [...new Set([...copies.inMemory, ...copies.onDisk])];
  copiedModelsCache.set(copies, names);
  return names;
};

/** Where an engine loads the weights of a model from. */
export const LoadSource = { memory: 'memory', disk: 'disk', remote: 'remote' } as const;
export type LoadSource = (typeof LoadSource)[keyof typeof LoadSource];

export const loadSource = (engine: EngineView, model: string): LoadSource => {
  if (engine.copies.inMemory.includes(model)) return LoadSource.memory;
  return engine.copies.onDisk.includes(model) ? LoadSource.disk : LoadSource.remote;
};
