import { fleetIndex, type PlanInput } from './plan-input';

/** Number of replicas that the current load of a model requires. */
export const targetReplicas = (input: PlanInput, model: string, now: number): number => {
  const { settings, demand, service } = input;
  const inFlight = fleetIndex(input).inFlight(model);
  const rate = demand.rate(service, model, now);
  const minReplicas = rate >= settings.secondReplicaRate ? 2 : 1;
  const byLoad = Math.ceil(
    Math.max(inFlight / settings.requestsPerReplica, rate / settings.arrivalsPerReplica),
  );
  return Math.max(minReplicas, byLoad);
};
