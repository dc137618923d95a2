import type { Model } from '@currantdrift/routes';
import { unloadMs } from './engine-timeline';
import { type EngineView, hasLoadedModel, type LoadSource, loadSource } from './engine-view';
import { EvictionPlanner } from './evictions';
import { fleetIndex, loadTimeMs, type PlanInput } from './plan-input';
import { enginesForLoads, orderTimeMs } from './request-limits';

/** A candidate engine for loading a model now, with its costs. */
export interface LoadOption {
  readonly engine: EngineView;
  readonly source: LoadSource;
  readonly loadMs: number;
  /** Time until the load begins, in ms: orders to engines that limit their requests wait. */
  readonly orderMs: number;
  readonly victims: readonly string[];
  readonly evictionMs: number;
  /** Expected time until the victims have no running requests, in ms. */
  readonly drainMs: number;
  /** Sum of the load time and the costs of evictions and of disturbing the engine, in ms. */
  readonly costMs: number;
}

export const cheapest = (options: readonly LoadOption[]): LoadOption | undefined =>
  options.reduce<LoadOption | undefined>(
    (best, option) => (best === undefined || option.costMs < best.costMs ? option : best),
    undefined,
  );

/** Time until the model is ready by an option, in ms. */
export const readyMsOf = ({ loadMs, orderMs, drainMs, victims }: LoadOption): number =>
  drainMs + orderMs + victims.length * unloadMs + loadMs;

/** Requests per second that an engine is expected to receive for its loaded models. */
const expectedArrivalRate = (input: PlanInput, engine: EngineView, now: number): number =>
  engine.models.reduce((sum, { name }) => {
    const replicas = Math.max(1, fleetIndex(input).replicas(name).length);
    return sum + input.demand.rate(input.service, name, now) / replicas;
  }, 0);

/** Number of models of which an engine has the only copy and which it has not loaded. */
const soleCopyCount = (input: PlanInput, engine: EngineView): number => {
  const fleet = fleetIndex(input);
  const own = engine.leaving ? 0 : 1;
  return engine.copies.onDisk.filter(
    (model) =>
      input.pool.models.has(model) &&
      !hasLoadedModel(engine, model) &&
      fleet.sourceCount(model) === own,
  ).length;
};

/** An engine without an operation in progress. */
interface AvailableEngine {
  readonly engine: EngineView;
  /** Delay that an order causes for the requests that are expected at the engine, in ms. */
  readonly busyMs: number;
  readonly soleCopies: number;
}

/** Finds engines that can load a model now and have no other operation in progress. */
export class LoadOptions {
  private readonly available: readonly AvailableEngine[];

  private readonly evictionPlanner: EvictionPlanner;

  private constructor(
    private readonly input: PlanInput,
    now: number,
  ) {
    this.evictionPlanner = EvictionPlanner.of(input, now);
    const usable = enginesForLoads(input);
    this.available = input.engines
      .filter((engine) => usable.has(engine) && engine.operation === undefined)
      .map((engine) => ({
        engine,
        // An order delays adapter loads, and a further model competes with busy models for batches.
        busyMs: expectedArrivalRate(input, engine, now) * input.settings.busyEngineCostMs,
        soleCopies: soleCopyCount(input, engine),
      }));
  }

  static create(input: PlanInput, now: number): LoadOptions {
    return new LoadOptions(input, now);
  }

  /** True if no engine can accept an order. */
  get isEmpty(): boolean {
    return this.available.length === 0;
  }

  /** The engines on which the model can be loaded now. */
  forModel(model: Model): LoadOption[] {
    return this.available
      .filter(({ engine }) => !hasLoadedModel(engine, model.name))
      .flatMap((candidate) => this.optionAt(candidate, model) ?? []);
  }

  private optionAt(
    { engine, busyMs, soleCopies: sole }: AvailableEngine,
    model: Model,
  ): LoadOption | undefined {
    const eviction = this.evictionPlanner.planEviction(engine, model);
    if (eviction === undefined) return undefined;
    const { victims, costMs: evictionMs, drainMs } = eviction;
    const source = loadSource(engine, model.name);
    const loadMs = loadTimeMs(model, source);
    // During the load, the models whose only copy is on this engine cannot be loaded anywhere else.
    const soleMs = sole * loadMs * this.input.settings.soleCopyCostRatio;
    const orderMs = orderTimeMs(engine, victims.length);
    const costMs = loadMs + orderMs + evictionMs + busyMs + soleMs;
    return { engine, source, loadMs, orderMs, victims, evictionMs, drainMs, costMs };
  }
}
