import type { Model } from '@currantdrift/routes';
import { LoadSource } from './engine-view';
import { EvictionPlanner } from './evictions';
import { LoadForecast } from './load-forecast';
import { cheapest, type LoadOption, LoadOptions, readyMsOf } from './load-options';
import { type NeededModel, readyMsFromCopy } from './needed-models';
import { fleetIndex, LoadReason, type LoadStep, type PlanInput } from './plan-input';
import { effectiveReplicas } from './request-limits';
import { targetReplicas } from './target-replicas';

const loadStep = (option: LoadOption, model: Model, reason: LoadReason): LoadStep => ({
  kind: 'load',
  engine: option.engine.id,
  model: model.name,
  unload: option.victims,
  source: option.source,
  loadMs: option.loadMs,
  orderMs: option.orderMs,
  drainMs: option.drainMs,
  reason,
});

/** The first step that `plan` returns for one of the models, in their order. */
const firstStep = <T>(
  models: readonly T[],
  plan: (model: T) => LoadStep | undefined,
): LoadStep | undefined => {
  for (const model of models) {
    const step = plan(model);
    if (step !== undefined) return step;
  }
  return undefined;
};

/** Plans the loads of models that requests wait for. */
class NeededLoads {
  private readonly planner: EvictionPlanner;

  /** Present while more models are needed than engines can load. */
  private readonly forecast: LoadForecast | undefined;

  private constructor(
    private readonly input: PlanInput,
    private readonly options: LoadOptions,
    private readonly now: number,
  ) {
    this.planner = EvictionPlanner.of(input, now);
    this.forecast = this.planner.isContended ? LoadForecast.create(input, now) : undefined;
  }

  static create(input: PlanInput, options: LoadOptions, now: number): NeededLoads {
    return new NeededLoads(input, options, now);
  }

  /** The first load that can be ordered now, in the order of the needed models. */
  next(): LoadStep | undefined {
    return firstStep(this.planner.needs, (need) => this.planNeed(need));
  }

  /** The load of a needed model; undefined if waiting for an engine that has a copy is faster. */
  private planNeed({ model }: NeededModel): LoadStep | undefined {
    const option = cheapest(this.allowed(this.options.forModel(model)));
    if (option === undefined) return undefined;
    // Waiting for an occupied engine that has a copy can be faster than loading now.
    const waitMs = this.forecast
      ? this.forecastMs(model)
      : readyMsFromCopy(this.input, model, this.now);
    const loadMs = this.forecast ? readyMsOf(option) : option.loadMs;
    if (waitMs !== undefined && waitMs < loadMs) return undefined;
    return loadStep(option, model, LoadReason.waiting);
  }

  private allowed(options: readonly LoadOption[]): readonly LoadOption[] {
    const { remoteLoads, remoteCapacity } = this.input;
    return remoteLoads < remoteCapacity
      ? options
      : options.filter(({ source }) => source !== LoadSource.remote);
  }

  private forecastMs({ name }: Model): number | undefined {
    const load = this.forecast?.load(name);
    return load && load.readyAt - this.now;
  }
}

/** Which shortages a plan considers when it adds replicas. */
const Shortage = {
  /** The target is more than twice the number of replicas, and no load is in progress. */
  severe: 'severe',
  any: 'any',
} as const;
type Shortage = (typeof Shortage)[keyof typeof Shortage];

/**
 * Adds replicas of models that have fewer than their target, the busiest model first. This follows
 * demand that moves to models that are loaded on few engines.
 */
const planBusy = (
  input: PlanInput,
  options: LoadOptions,
  shortage: Shortage,
  now: number,
): LoadStep | undefined => {
  const { pool, demand, service, settings } = input;
  const fleet = fleetIndex(input);
  const maxRemoteLoads = Math.min(settings.maxBusyLoads, input.remoteCapacity);
  const remoteAllowed = input.remoteLoads < maxRemoteLoads;
  const isSevere = shortage === Shortage.severe;
  const maxEvictionMs = isSevere ? settings.maxSevereEvictionMs : settings.maxBusyEvictionMs;
  const busy = demand
    .models(service)
    .map((name) => ({ model: pool.models.get(name), rate: demand.rate(service, name, now) }))
    .filter(({ rate }) => rate >= settings.secondReplicaRate)
    .sort((a, b) => b.rate - a.rate)
    .flatMap(({ model }) => model ?? []);
  return firstStep(busy, (model) => {
    const replicas = effectiveReplicas(input, model.name);
    const missing = targetReplicas(input, model.name, now) - replicas;
    const loading = fleet.loading(model.name);
    if (replicas === 0 || missing <= loading) return undefined;
    if (isSevere && (loading > 0 || missing <= replicas)) return undefined;
    const allowed = options
      .forModel(model)
      .filter(
        ({ source, evictionMs }) =>
          (remoteAllowed || source !== LoadSource.remote) && evictionMs < maxEvictionMs,
      );
    const option = cheapest(allowed);
    return option && loadStep(option, model, LoadReason.busy);
  });
};

/** Loads the most requested model of those that no engine has loaded or copied. */
const planCopy = (input: PlanInput, options: LoadOptions, now: number): LoadStep | undefined => {
  const { pool, demand, service, settings } = input;
  const fleet = fleetIndex(input);
  const allowed = input.beforeDemand ? settings.maxCopyLoadsBeforeDemand : settings.maxCopyLoads;
  if (input.remoteLoads >= allowed) return undefined;
  const [missing] = [...pool.models.values()]
    .filter(({ name }) => fleet.sourceCount(name) === 0 && fleet.loading(name) === 0)
    .map((model) => ({ model, rate: demand.rate(service, model.name, now) }))
    .sort((a, b) => b.rate - a.rate);
  if (missing === undefined) return undefined;
  const option = cheapest(options.forModel(missing.model));
  if (option === undefined || option.evictionMs > settings.maxCopyEvictionMs) {
    return undefined;
  }
  return loadStep(option, missing.model, LoadReason.copy);
};

/**
 * The next load to order, with the unloads that it needs; undefined if nothing should change. Models in
 * severe shortage go first: a busy model has many requests, and each load for a single request would
 * occupy an engine that they need.
 */
export const planLoad = (input: PlanInput, now: number): LoadStep | undefined => {
  const options = LoadOptions.create(input, now);
  if (options.isEmpty) return undefined;
  return (
    planBusy(input, options, Shortage.severe, now) ??
    NeededLoads.create(input, options, now).next() ??
    planBusy(input, options, Shortage.any, now) ??
    planCopy(input, options, now)
  );
};
