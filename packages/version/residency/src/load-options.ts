import type { Model } from '@currantdrift/routes';
import { type EngineView, holdsModel, type LoadSource, sourceOf } from './engine-view';
import { type EvictionCost, makeRoom } from './room';
import { fleetOf, loadTime, type Situation } from './situation';
import { targetReplicas } from './target-replicas';

/** A way to load a model now. */
export interface LoadOption {
  readonly engine: EngineView;
  readonly source: LoadSource;
  readonly loadMs: number;
  readonly victims: readonly string[];
  readonly evictionMs: number;
  /** Load, evictions and disturbance of the engine together. */
  readonly costMs: number;
}

export const cheapest = (options: readonly LoadOption[]): LoadOption | undefined =>
  options.reduce<LoadOption | undefined>(
    (best, option) => (best === undefined || option.costMs < best.costMs ? option : best),
    undefined,
  );

/**
 * Cost of unloading in ms: the waiting that is expected until the model would be used again. A model
 * that requests wait for stays, also just after its load: otherwise two models that wait for one place
 * would displace each other before either is used.
 */
const evictionCost = (situation: Situation, now: number): EvictionCost => {
  const { settings, pool, demand, service } = situation;
  const fleet = fleetOf(situation);
  const awaited = new Set(
    demand
      .current(now)
      .filter(({ refused }) => !refused)
      .map(({ model }) => model),
  );
  return (engine, { name }) => {
    if (awaited.has(name)) return undefined;
    const isUsed = (engine.inFlight.get(name) ?? 0) > 0;
    const model = pool.models.get(name);
    if (model === undefined) return isUsed ? undefined : 0;
    const rate = demand.rate(service, name, now);
    const isSurplus = fleet.replicas(name).length > targetReplicas(situation, name, now);
    // Its runs end before it is unloaded, and new requests go to the other replicas.
    if (isUsed) return isSurplus ? rate + settings.runEndMs : undefined;
    if (isSurplus) return rate;
    const reloadMs = loadTime(model, sourceOf(engine, name));
    return rate * (settings.evictionHorizonMs / 1000) * reloadMs + 1;
  };
};

/** Requests that an engine may expect in a second for the models that it holds. */
const engineRate = (situation: Situation, engine: EngineView, now: number): number =>
  engine.models.reduce((sum, { name }) => {
    const replicas = Math.max(1, fleetOf(situation).replicas(name).length);
    return sum + situation.demand.rate(situation.service, name, now) / replicas;
  }, 0);

/** Models of which an engine has the only copy. */
const soleCopies = (situation: Situation, engine: EngineView): number => {
  const fleet = fleetOf(situation);
  const own = engine.leaving ? 0 : 1;
  return engine.copies.onDisk.filter(
    (model) =>
      situation.pool.models.has(model) &&
      !holdsModel(engine, model) &&
      fleet.sourceCount(model) === own,
  ).length;
};

/** Ways to load models on engines that carry out no other order. */
export class LoadOptions {
  private readonly free: readonly {
    readonly engine: EngineView;
    /** Cost of an order for the requests that the engine expects, in ms. */
    readonly busyMs: number;
    readonly soleCopies: number;
  }[];

  private readonly eviction: EvictionCost;

  private constructor(
    private readonly situation: Situation,
    now: number,
  ) {
    this.eviction = evictionCost(situation, now);
    this.free = situation.engines
      .filter((engine) => !engine.leaving && engine.operation === undefined)
      .map((engine) => ({
        engine,
        // Orders hold up adapters, and a further model shares the batch of the busy ones.
        busyMs: engineRate(situation, engine, now) * situation.settings.busyEngineMs,
        soleCopies: soleCopies(situation, engine),
      }));
  }

  static create(situation: Situation, now: number): LoadOptions {
    return new LoadOptions(situation, now);
  }

  /** Whether no engine can take an order. */
  get isEmpty(): boolean {
    return this.free.length === 0;
  }

  /** Ways to load the model now. */
  of(model: Model): LoadOption[] {
    const { pool, settings } = this.situation;
    return this.free
      .filter(({ engine }) => !holdsModel(engine, model.name))
      .flatMap(({ engine, busyMs, soleCopies: sole }) => {
        const room = makeRoom(engine, pool, model.sizeMb, this.eviction);
        if (room === undefined) return [];
        const source = sourceOf(engine, model.name);
        const loadMs = loadTime(model, source);
        // While the engine loads, nobody else can load the models that only it has.
        const soleMs = sole * loadMs * settings.soleCopyShare;
        const costMs = loadMs + room.costMs + busyMs + soleMs;
        return [{ engine, source, loadMs, victims: room.victims, evictionMs: room.costMs, costMs }];
      });
  }
}
