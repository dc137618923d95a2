import type { EngineView } from './engine-view';
import { fleetIndex, type PlanInput } from './plan-input';

const msPerSecond = 1_000;

/** Calls to an engine for a load: the order itself and the confirmation that it is done. */
const callsPerLoad = 2;

/** Lowest request limit that is told apart, in requests per second. */
const minRequestLimitPerS = 0.1;

/** Time that the calls for a load and its unloads take at an engine that limits its requests, in ms. */
export const orderTimeMs = ({ requestLimitPerS }: EngineView, unloads: number): number =>
  requestLimitPerS === undefined
    ? 0
    : ((callsPerLoad + unloads) * msPerSecond) / Math.max(requestLimitPerS, minRequestLimitPerS);

const loadEnginesCache = new WeakMap<readonly EngineView[], ReadonlySet<EngineView>>();

/**
 * Engines that may load further models. Those that limit their requests do only if all do: the orders
 * use up what the engine takes and wait for it, and the new replica could serve little. Cached for each
 * list of engines, which must not change afterwards, because a plan looks up many models.
 */
export const enginesForLoads = ({ engines }: PlanInput): ReadonlySet<EngineView> => {
  const found = loadEnginesCache.get(engines);
  if (found !== undefined) return found;
  const present = engines.filter(({ leaving }) => !leaving);
  const unlimited = present.filter(({ requestLimitPerS }) => requestLimitPerS === undefined);
  const usable = new Set(unlimited.length > 0 ? unlimited : present);
  loadEnginesCache.set(engines, usable);
  return usable;
};

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
  if (replicas === 0) return false;
  const isLimited = input.demand
    .current(now)
    .some(
      ({ service, model: name, limited }) => limited && service === input.service && name === model,
    );
  if (isLimited) return false;
  const rate = input.demand.rate(input.service, model, now);
  return replicas >= rate / input.settings.arrivalsPerReplica;
};
