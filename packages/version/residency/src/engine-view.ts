import type { LoadedModel, ModelCopies } from '@currantdrift/fleet';

/** What keeps an engine from taking an order for a model. */
export interface EngineOperation {
  /** `pause`: the engine is left alone for a while after an earlier holder's orders. */
  readonly kind: 'load' | 'pause';
  /** Empty for a pause. */
  readonly model: string;
  /** Expected end, on the controller's clock, in ms. */
  readonly endsAt: number;
  /** Whether the weights come from the weight store. */
  readonly remote: boolean;
}

/** An engine as its controller sees it. */
export interface EngineView {
  readonly id: string;
  readonly service: string;
  readonly domain: string;
  /** True once it must get no further load. */
  readonly leaving: boolean;
  readonly models: readonly LoadedModel[];
  /** Models that get no more requests and still take memory until their unload is done. */
  readonly unloading: readonly LoadedModel[];
  readonly copies: ModelCopies;
  /** Load under way or about to be ordered, with its unloads; no other one fits beside it. */
  readonly operation: EngineOperation | undefined;
  /** Adapters whose load was ordered and is not done, as `model/adapter`. */
  readonly adapterLoads: ReadonlySet<string>;
  /** Requests in flight by model and by `model/adapter`, over all daemons. */
  readonly inFlight: ReadonlyMap<string, number>;
}

/** Key of an adapter in `EngineView.inFlight`. */
export const adapterKey = (model: string, adapter: string): string => `${model}/${adapter}`;

export const holdsModel = (engine: EngineView, model: string): boolean =>
  engine.models.some(({ name }) => name === model);

const keptNames = new WeakMap<ModelCopies, readonly string[]>();

/** Models of which an engine keeps a copy, each once. */
export const keptModels = (copies: ModelCopies): readonly string[] => {
  const found = keptNames.get(copies);
  if (found !== undefined) return found;
  const names = [...new Set([...copies.inMemory, ...copies.onDisk])];
  keptNames.set(copies, names);
  return names;
};

/** Where an engine takes the weights of a model from. */
export const LoadSource = { memory: 'memory', disk: 'disk', remote: 'remote' } as const;
export type LoadSource = (typeof LoadSource)[keyof typeof LoadSource];

export const sourceOf = (engine: EngineView, model: string): LoadSource => {
  if (engine.copies.inMemory.includes(model)) return LoadSource.memory;
  return engine.copies.onDisk.includes(model) ? LoadSource.disk : LoadSource.remote;
};
