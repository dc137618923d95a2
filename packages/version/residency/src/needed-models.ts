import type { Model } from '@currantdrift/routes';
import type { Waiting } from './demand';
import { sourceOf } from './engine-view';
import { fleetOf, loadTime, type PlanInput } from './situation';

/** Time until the model could be ready on an engine that is occupied now but has a copy, in ms. */
export const readyByCopy = (situation: PlanInput, model: Model, now: number): number | undefined =>
  fleetOf(situation)
    .withCopy(model.name)
    .map((engine) => {
      const occupiedMs = Math.max(0, (engine.operation?.endsAt ?? now) - now);
      return occupiedMs + loadTime(model, sourceOf(engine, model.name));
    })
    .reduce<number | undefined>(
      (best, ms) => (best === undefined || ms < best ? ms : best),
      undefined,
    );

/** Urgency of the requests that wait for one model; larger goes first. */
const weightOf = (waiting: readonly Waiting[]): number =>
  waiting.reduce((sum, { priority, refused }) => sum + (refused ? 0.5 : 1) / (1 + priority), 0);

interface Needed {
  readonly model: Model;
  /** Weight of the requests that can still be on time, and of all. */
  readonly onTime: number;
  readonly weight: number;
  readonly deadline: number;
}

const needOf = (
  situation: PlanInput,
  model: Model,
  waiting: readonly Waiting[],
  now: number,
): Needed => {
  const readyAt = now + (readyByCopy(situation, model, now) ?? model.remoteLoadMs);
  const onTime = waiting.filter(
    ({ onTimeDeadline: onTimeBy, refused }) => !refused && onTimeBy >= readyAt,
  );
  return {
    model,
    onTime: weightOf(onTime),
    weight: weightOf(waiting),
    deadline: Math.min(...waiting.map(({ deadline }) => deadline)),
  };
};

/**
 * Models that requests wait for and that no engine holds or loads. Those whose requests can still be
 * on time go first: when more are asked for than engines can load, serving the oldest first would make
 * every answer late.
 */
export const neededModels = (situation: PlanInput, now: number): Model[] => {
  const { demand, service, pool } = situation;
  const fleet = fleetOf(situation);
  const byModel = new Map<string, Waiting[]>();
  demand
    .current(now)
    .filter((one) => one.service === service)
    .forEach((one) => byModel.set(one.model, [...(byModel.get(one.model) ?? []), one]));
  return [...byModel.entries()]
    .filter(([name]) => fleet.replicas(name).length === 0 && fleet.loading(name) === 0)
    .flatMap(([name, waiting]) => {
      const model = pool.models.get(name);
      return model === undefined ? [] : [needOf(situation, model, waiting, now)];
    })
    .sort((a, b) => b.onTime - a.onTime || b.weight - a.weight || a.deadline - b.deadline)
    .map(({ model }) => model);
};
