import type { Model } from '@currantdrift/routes';
import type { WaitingRequest } from './demand';
import { hasLoadedModel, loadSource } from './engine-view';
import { fleetIndex, loadTimeMs, type PlanInput } from './plan-input';
import { enginesForLoads, isServed, orderTimeMs } from './request-limits';

/** How soon and how quickly engines with a copy could load a model. */
interface CopyLoad {
  /** Shortest time until the model could be ready, with the operation in progress, in ms. */
  readonly readyMs: number;
  /** Shortest time that the load alone takes, in ms. */
  readonly loadMs: number;
}

/** The fastest loads from copies; undefined if no engine has a copy. */
const copyLoad = (input: PlanInput, model: Model, now: number): CopyLoad | undefined => {
  const usable = enginesForLoads(input);
  const best = { readyMs: Infinity, loadMs: Infinity };
  fleetIndex(input)
    .enginesWithCopy(model.name)
    .forEach((engine) => {
      // An engine that limits its requests may hold the model, which cannot be loaded there again.
      if (!usable.has(engine) || hasLoadedModel(engine, model.name)) return;
      const occupiedMs = Math.max(0, (engine.operation?.endsAt ?? now) - now);
      const loadMs = loadTimeMs(model, loadSource(engine, model.name));
      best.loadMs = Math.min(best.loadMs, loadMs);
      best.readyMs = Math.min(best.readyMs, occupiedMs + orderTimeMs(engine, 0) + loadMs);
    });
  return best.readyMs === Infinity ? undefined : best;
};

/**
 * Shortest time until an engine with a copy could have the model ready, in ms, including the wait for
 * its operation in progress; undefined if no engine has a copy.
 */
export const readyMsFromCopy = (input: PlanInput, model: Model, now: number): number | undefined =>
  copyLoad(input, model, now)?.readyMs;

/** Time before the load for a refused request must begin from which it counts as waiting, in ms. */
const refusedDueMs = 1_500;

/** Whether a request waits, or was told to retry later and returns about when a load would end. */
const isDue = ({ refused, deadline }: WaitingRequest, loadMs: number, now: number): boolean =>
  !refused || deadline - now <= loadMs + refusedDueMs;

/** Urgency of a request by its priority; larger is served first. */
const urgencyOf = ({ priority }: WaitingRequest): number => 1 / (1 + priority);

/** A model that requests wait for and that an engine has to load. */
export interface NeededModel {
  readonly model: Model;
  /**
   * Urgency of the requests that can still be on time, of all that wait or return soon, and of
   * those that return later, per ms that the load takes.
   */
  readonly onTime: number;
  readonly weight: number;
  readonly refusedWeight: number;
  /** Earliest deadline of the requests, on the controller's clock, in ms. */
  readonly deadline: number;
}

const assessNeed = (
  input: PlanInput,
  model: Model,
  waiting: readonly WaitingRequest[],
  now: number,
): NeededModel => {
  const { remoteLoadMs } = model;
  const copy = copyLoad(input, model, now) ?? { readyMs: remoteLoadMs, loadMs: remoteLoadMs };
  const loadMs = Math.max(1, copy.loadMs);
  const readyAt = now + copy.readyMs;
  const need = { onTime: 0, weight: 0, refusedWeight: 0, deadline: Infinity };
  waiting.forEach((request) => {
    const gain = urgencyOf(request) / loadMs;
    need.deadline = Math.min(need.deadline, request.deadline);
    if (!isDue(request, loadMs, now)) {
      need.refusedWeight += gain;
      return;
    }
    need.weight += gain;
    if (!request.refused && request.onTimeDeadline >= readyAt) need.onTime += gain;
  });
  return { model, ...need };
};

/** Waiting requests of the service by model. */
const waitingByModel = (
  { demand, service }: PlanInput,
  now: number,
): Map<string, WaitingRequest[]> => {
  const byModel = new Map<string, WaitingRequest[]>();
  demand.current(now).forEach((one) => {
    if (one.service !== service) return;
    const others = byModel.get(one.model);
    if (others === undefined) byModel.set(one.model, [one]);
    else others.push(one);
  });
  return byModel;
};

/** Whether the loads in progress leave requests for the model without a slot. */
const needsLoad = (input: PlanInput, name: string, waiting: number, now: number): boolean => {
  if (isServed(input, name, now)) return false;
  const loading = fleetIndex(input).loading(name);
  return loading === 0 || waiting > loading * input.pool.slots;
};

const byUrgency = (a: NeededModel, b: NeededModel): number =>
  b.onTime - a.onTime ||
  b.weight - a.weight ||
  b.refusedWeight - a.refusedWeight ||
  a.deadline - b.deadline;

/**
 * Models that requests wait for, that no engine is loading and whose replicas cannot serve them. A
 * model that is being loaded is included while more requests wait for it than its replicas have slots.
 * The order is by the requests that a load serves per time that it occupies an engine. Models whose
 * requests can still be on time go first: when more models are requested than engines can load, serving
 * the oldest request first would make every response late. Models for which only refused requests are
 * expected to return go last.
 */
export const neededModels = (input: PlanInput, now: number): NeededModel[] => {
  const needed: NeededModel[] = [];
  waitingByModel(input, now).forEach((waiting, name) => {
    const model = input.pool.models.get(name);
    const count = waiting.filter(({ refused }) => !refused).length;
    if (model === undefined || !needsLoad(input, name, count, now)) return;
    needed.push(assessNeed(input, model, waiting, now));
  });
  return needed.sort(byUrgency);
};

/** The needed models with that of a further request, which is not registered yet, at its place. */
export const withRequest = (
  input: PlanInput,
  needed: readonly NeededModel[],
  request: WaitingRequest,
  now: number,
): readonly NeededModel[] => {
  const model = input.pool.models.get(request.model);
  if (model === undefined || !needsLoad(input, model.name, 1, now)) return needed;
  const added = assessNeed(input, model, [request], now);
  const index = needed.findIndex((one) => byUrgency(added, one) < 0);
  return index < 0 ? [...needed, added] : needed.toSpliced(index, 0, added);
};
