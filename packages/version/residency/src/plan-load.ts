import type { Model } from '@currantdrift/routes';
import { LoadSource } from './engine-view';
import { cheapest, type LoadOption, LoadOptions } from './load-options';
import { neededModels, readyByCopy } from './needed-models';
import { fleetOf, LoadReason, type LoadStep, type PlanInput } from './situation';
import { targetReplicas } from './target-replicas';

const stepOf = (option: LoadOption, model: Model, reason: LoadReason): LoadStep => ({
  kind: 'load',
  engine: option.engine.id,
  model: model.name,
  unload: option.victims,
  source: option.source,
  loadMs: option.loadMs,
  reason,
});

/** The first step that `plan` finds for one of the models. */
const firstStep = (
  models: readonly Model[],
  plan: (model: Model) => LoadStep | undefined,
): LoadStep | undefined => {
  for (const model of models) {
    const step = plan(model);
    if (step !== undefined) return step;
  }
  return undefined;
};

const planNeeded = (
  situation: PlanInput,
  options: LoadOptions,
  now: number,
): LoadStep | undefined => {
  const remoteAllowed = situation.remoteLoads < situation.remoteCapacity;
  return firstStep(neededModels(situation, now), (model) => {
    const all = options.of(model);
    const option = cheapest(
      remoteAllowed ? all : all.filter(({ source }) => source !== LoadSource.remote),
    );
    if (option === undefined) return undefined;
    // An engine with a copy that is occupied for a while is still faster than the weight store.
    const byCopyMs = readyByCopy(situation, model, now);
    if (byCopyMs !== undefined && byCopyMs < option.loadMs) return undefined;
    return stepOf(option, model, LoadReason.waiting);
  });
};

/** Which models get further replicas. */
const Shortage = {
  /** Those whose replicas carry more than twice their share. */
  severe: 'severe',
  any: 'any',
} as const;
type Shortage = (typeof Shortage)[keyof typeof Shortage];

/**
 * Models whose replicas carry more than their share; the busiest first. Answers the load pattern
 * "demand moves to models that few engines hold".
 */
const planBusy = (
  situation: PlanInput,
  options: LoadOptions,
  shortage: Shortage,
  now: number,
): LoadStep | undefined => {
  const { pool, demand, service, settings } = situation;
  const fleet = fleetOf(situation);
  const atOnce = Math.min(settings.busyLoadsAtOnce, situation.remoteCapacity);
  const remoteAllowed = situation.remoteLoads < atOnce;
  const isSevere = shortage === Shortage.severe;
  const maxEvictionMs = isSevere ? settings.severeEvictionMs : settings.busyEvictionMs;
  const busy = demand
    .models(service)
    .map((name) => ({ model: pool.models.get(name), rate: demand.rate(service, name, now) }))
    .filter(({ rate }) => rate >= settings.sparePerSecond)
    .sort((a, b) => b.rate - a.rate)
    .flatMap(({ model }) => model ?? []);
  return firstStep(busy, (model) => {
    const replicas = fleet.replicas(model.name).length;
    const missing = targetReplicas(situation, model.name, now) - replicas;
    const loading = fleet.loading(model.name);
    if (replicas === 0 || missing <= loading) return undefined;
    if (isSevere && (loading > 0 || missing <= replicas)) return undefined;
    const allowed = options
      .of(model)
      .filter(
        ({ source, evictionMs }) =>
          (remoteAllowed || source !== LoadSource.remote) && evictionMs < maxEvictionMs,
      );
    const option = cheapest(allowed);
    return option && stepOf(option, model, LoadReason.busy);
  });
};

/** Fetches a copy of the model that is most asked for among those without one. */
const planCopy = (
  situation: PlanInput,
  options: LoadOptions,
  now: number,
): LoadStep | undefined => {
  const { pool, demand, service, settings } = situation;
  const fleet = fleetOf(situation);
  const allowed = situation.beforeDemand
    ? settings.copyLoadsBeforeDemand
    : settings.copyLoadsAtOnce;
  if (situation.remoteLoads >= allowed) return undefined;
  const [missing] = [...pool.models.values()]
    .filter(({ name }) => fleet.sourceCount(name) === 0 && fleet.loading(name) === 0)
    .map((model) => ({ model, rate: demand.rate(service, model.name, now) }))
    .sort((a, b) => b.rate - a.rate);
  if (missing === undefined) return undefined;
  const option = cheapest(options.of(missing.model));
  if (option === undefined || option.evictionMs > settings.copyEvictionMs) {
    return undefined;
  }
  return stepOf(option, missing.model, LoadReason.copy);
};

/**
 * The next load or unload that should be ordered; undefined if nothing should change. Models in severe
 * shortage go first: the requests of one busy model are many, and each load for a single request
 * would occupy the engine that they need.
 */
export const planLoad = (situation: PlanInput, now: number): LoadStep | undefined => {
  const options = LoadOptions.create(situation, now);
  if (options.isEmpty) return undefined;
  return (
    planBusy(situation, options, Shortage.severe, now) ??
    planNeeded(situation, options, now) ??
    planBusy(situation, options, Shortage.any, now) ??
    planCopy(situation, options, now)
  );
};
