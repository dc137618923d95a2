import { type EngineView, keptModels } from './engine-view';

const none: readonly EngineView[] = [];

const indexes = new WeakMap<readonly EngineView[], FleetIndex>();

const add = <T>(map: Map<string, T[]>, key: string, value: T): void => {
  const list = map.get(key);
  if (list === undefined) map.set(key, [value]);
  else list.push(value);
};

const addCount = (map: Map<string, number>, key: string, count: number): void => {
  map.set(key, (map.get(key) ?? 0) + count);
};

/**
 * Engines by the models that they hold, load and keep copies of. Made once for each list of engines,
 * because a plan asks for hundreds of models on dozens of engines.
 */
export class FleetIndex {
  private readonly holders = new Map<string, EngineView[]>();

  private readonly keepers = new Map<string, EngineView[]>();

  private readonly sources = new Map<string, number>();

  private readonly loads = new Map<string, number>();

  private readonly flights = new Map<string, number>();

  private constructor(engines: readonly EngineView[]) {
    engines.forEach((engine) => this.add(engine));
  }

  /** The index of a list of engines, which must not change afterwards. */
  static of(engines: readonly EngineView[]): FleetIndex {
    const found = indexes.get(engines);
    if (found !== undefined) return found;
    const index = new FleetIndex(engines);
    indexes.set(engines, index);
    return index;
  }

  /** Engines that hold the model and are not leaving. */
  replicas(model: string): readonly EngineView[] {
    return this.holders.get(model) ?? none;
  }

  /** Engines that keep a copy in memory or on disk and are not leaving. */
  withCopy(model: string): readonly EngineView[] {
    return this.keepers.get(model) ?? none;
  }

  /** Number of engines that hold the model or keep a copy, and are not leaving. */
  sourceCount(model: string): number {
    return this.sources.get(model) ?? 0;
  }

  /** Loads of the model under way. */
  loading(model: string): number {
    return this.loads.get(model) ?? 0;
  }

  /** Requests in flight for the model, over all engines. */
  inFlight(model: string): number {
    return this.flights.get(model) ?? 0;
  }

  private add(engine: EngineView): void {
    const { operation, inFlight } = engine;
    if (operation?.kind === 'load') addCount(this.loads, operation.model, 1);
    inFlight.forEach((count, model) => addCount(this.flights, model, count));
    if (engine.leaving) return;
    engine.models.forEach(({ name }) => add(this.holders, name, engine));
    const kept = keptModels(engine.copies);
    kept.forEach((model) => {
      add(this.keepers, model, engine);
      addCount(this.sources, model, 1);
    });
    engine.models
      .filter(({ name }) => !kept.includes(name))
      .forEach(({ name }) => addCount(this.sources, name, 1));
  }
}
