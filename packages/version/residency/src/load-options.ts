import type { Model } from '@currantdrift/routes';
import { type EngineView, holdsModel, type LoadSource, sourceOf } from './engine-view';
import { Evictions } from './evictions';
import { fleetOf, loadTime, type PlanInput } from './situation';

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

/** Requests that an engine may expect in a second for the models that it holds. */
const engineRate = (situation: PlanInput, engine: EngineView, now: number): number =>
  engine.models.reduce((sum, { name }) => {
    const replicas = Math.max(1, fleetOf(situation).replicas(name).length);
    return sum + situation.demand.rate(situation.service, name, now) / replicas;
  }, 0);

/** Models of which an engine has the only copy. */
const soleCopies = (situation: PlanInput, engine: EngineView): number => {
  const fleet = fleetOf(situation);
  const own = engine.leaving ? 0 : 1;
  return engine.copies.onDisk.filter(
    (model) =>
      situation.pool.models.has(model) &&
      !holdsModel(engine, model) &&
      fleet.sourceCount(model) === own,
  ).length;
};

/** An engine that carries out no other order. */
interface FreeEngine {
  readonly engine: EngineView;
  /** Cost of an order for the requests that the engine expects, in ms. */
  readonly busyMs: number;
  readonly soleCopies: number;
}

/** Ways to load models on engines that carry out no other order. */
export class LoadOptions {
  private readonly free: readonly FreeEngine[];

  private readonly evictions: Evictions;

  private constructor(
    private readonly situation: PlanInput,
    now: number,
  ) {
    this.evictions = Evictions.of(situation, now);
    this.free = situation.engines
      .filter((engine) => !engine.leaving && engine.operation === undefined)
      .map((engine) => ({
        engine,
        // Orders hold up adapters, and a further model shares the batch of the busy ones.
        busyMs: engineRate(situation, engine, now) * situation.settings.busyEngineMs,
        soleCopies: soleCopies(situation, engine),
      }));
  }

  static create(situation: PlanInput, now: number): LoadOptions {
    return new LoadOptions(situation, now);
  }

  /** Whether no engine can take an order. */
  get isEmpty(): boolean {
    return this.free.length === 0;
  }

  /** Ways to load the model now. */
  of(model: Model): LoadOption[] {
    return this.free
      .filter(({ engine }) => !holdsModel(engine, model.name))
      .flatMap((free) => this.optionAt(free, model) ?? []);
  }

  private optionAt(
    { engine, busyMs, soleCopies: sole }: FreeEngine,
    model: Model,
  ): LoadOption | undefined {
    const room = this.evictions.room(engine, model);
    if (room === undefined) return undefined;
    const source = sourceOf(engine, model.name);
    const loadMs = loadTime(model, source);
    // While the engine loads, nobody else can load the models that only it has.
    const soleMs = sole * loadMs * this.situation.settings.soleCopyShare;
    const { victims, costMs: evictionMs } = room;
    const costMs = loadMs + evictionMs + busyMs + soleMs;
    return { engine, source, loadMs, victims, evictionMs, costMs };
  }
}
