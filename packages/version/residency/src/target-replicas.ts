import { fleetOf, type PlanInput } from './situation';

/** Replicas of a model that its present load asks for. */
export const targetReplicas = (situation: PlanInput, model: string, now: number): number => {
  const { settings, demand, service } = situation;
  const inFlight = fleetOf(situation).inFlight(model);
  const rate = demand.rate(service, model, now);
  const floor = rate >= settings.sparePerSecond ? 2 : 1;
  const byLoad = Math.ceil(
    Math.max(inFlight / settings.requestsPerReplica, rate / settings.arrivalsPerReplica),
  );
  return Math.max(floor, byLoad);
};
