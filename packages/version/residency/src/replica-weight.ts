import { type EngineView } from './engine-view';
import { fleetIndex, type PlanInput } from './plan-input';

/**
 * What an engine's replicas are worth, from 0 to 1: the part of the arrivals that a replica should serve
 * which the engine's request limit allows, shared by the models that it has loaded.
 */
export const replicaWeight = (
  { settings }: PlanInput,
  { requestLimitPerS, models }: EngineView,
): number => {
  if (requestLimitPerS === undefined) return 1;
  const limitPerModel = (requestLimitPerS * settings.limitUtilization) / Math.max(1, models.length);
  return Math.min(1, limitPerModel / settings.arrivalsPerReplica);
};

/** Number of replicas of a model; those on engines that limit their requests count in part. */
export const effectiveReplicas = (input: PlanInput, model: string): number =>
  fleetIndex(input)
    .replicas(model)
    .reduce((sum, engine) => sum + replicaWeight(input, engine), 0);

/**
 * Whether the loaded replicas of a model can serve its requests. A single replica on an engine that
 * limits its requests may not.
 */
export const isServed = (input: PlanInput, model: string, now: number): boolean => {
  const replicas = effectiveReplicas(input, model);
  if (replicas >= 1) return true;
  const isLimited = input.demand
    .current(now)
    .some(
      ({ service, model: name, limited }) => limited && service === input.service && name === model,
    );
  if (isLimited) return false;
  const rate = input.demand.rate(input.service, model, now);
  return replicas > 0 && replicas >= rate / input.settings.arrivalsPerReplica;
};
