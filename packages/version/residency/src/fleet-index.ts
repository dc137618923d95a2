import { copiedModels, type EngineView } from './engine-view';

const noEngines: readonly EngineView[] = [];

const indexCache = new WeakMap<readonly EngineView[], FleetIndex>();

const appendTo = <T>(map: Map<string, T[]>, key: string, value: T): void => {
  const list = map.get(key);
  if (list === undefined) map.set(key, [value]);
  else list.push(value);
};

const addCount = (map: Map<string, number>, key: string, count: number): void => {
  map.set(key, (map.get(key) ?? 0) + count);
};

/**
 * Index of engines by the models that they have loaded, are loading or have copies of. Built once for
 * each list of engines, because a plan looks up hundreds of models on dozens of engines.
 */
export class FleetIndex {
  private readonly enginesByModel = new Map<string, EngineView[]>();

  private readonly enginesByCopy = new Map<string, EngineView[]>();

  private readonly sourceCounts = new Map<string, number>();

  private readonly loads = new Map<string, number>();

  private readonly flights = new Map<string, number>();

  private constructor(engines: readonly EngineView[]) {
    engines.forEach((engine) => this.add(engine));
  }

  /** The cached index of a list of engines, which must not change afterwards. */
  static of(engines: readonly EngineView[]): FleetIndex {
    const found = indexCache.get(engines);
    if (found !== undefined) return found;
    const index = new FleetIndex(engines);
    indexCache.set(engines, index);
    return index;
  }

  /** Engines that have the model loaded and are not leaving. */
  replicas(model: string): readonly EngineView[] {
    return this.enginesByModel.get(model) ?? noEngines;
  }

  /** Engines that have a copy of the model in memory or on disk and are not leaving. */
  enginesWithCopy(model: string): readonly EngineView[] {
    return this.enginesByCopy.get(model) ?? noEngines;
  }

  /** Number of engines that have the model loaded or copied and are not leaving. */
  sourceCount(model: string): number {
    return this.sourceCounts.get(model) ?? 0;
  }

  /** Number of loads of the model in progress. */
  loading(model: string): number {
    return this.loads.get(model) ?? 0;
  }

  /** Requests in flight for the model, summed over all engines. */
  inFlight(model: string): number {
    return this.flights.get(model) ?? 0;
  }

  private add(engine: EngineView): void {
    const { operation, inFlight } = engine;
    if (operation?.kind === 'load') addCount(this.loads, operation.model, 1);
    inFlight.forEach((count, model) => addCount(this.flights, model, count));
    if (engine.leaving) return;
    engine.models.forEach(({ name }) => appendTo(this.enginesByModel, name, engine));
    const kept = copiedModels(engine.copies);
    kept.forEach((model) => {
      appendTo(this.enginesByCopy, model, engine);
      addCount(this.sourceCounts, model, 1);
    });
    engine.models
      .filter(({ name }) => !kept.includes(name))
      .forEach(({ name }) => addCount(this.sourceCounts, name, 1));
  }
}
