import type { Model } from '@currantdrift/routes';
import type { Waiting } from './demand';
import { sourceOf } from './engine-view';
import { Evictions } from './evictions';
import { fleetOf, loadTime, type Situation } from './situation';

/** Time until the model could be ready on an engine with a copy that is occupied or full, in ms. */
export const readyByCopy = (
  situation: Situation,
  model: Model,
  now: number,
): number | undefined => {
  const evictions = Evictions.of(situation, now);
  const times = fleetOf(situation)
    .withCopy(model.name)
    .flatMap((engine) => {
      const roomMs = evictions.roomIn(engine, model);
      if (roomMs === undefined) return [];
      const occupiedMs = Math.max(0, (engine.operation?.endsAt ?? now) - now);
      return [Math.max(occupiedMs, roomMs) + loadTime(model, sourceOf(engine, model.name))];
    });
  return times.length === 0 ? undefined : Math.min(...times);
};

/** Urgency of the requests that wait for one model; larger goes first. */
const weightOf = (waiting: readonly Waiting[]): number =>
  waiting.reduce((sum, { priority, refused }) => sum + (refused ? 0.5 : 1) / (1 + priority), 0);

/** A model that requests wait for. */
export interface Needed {
  readonly model: Model;
  /** Time from which a request has waited for it, in ms. */
  readonly since: number;
  /** Weight of the requests that can still be on time, and of all. */
  readonly onTime: number;
  readonly weight: number;
  readonly deadline: number;
}

const needOf = (
  situation: Situation,
  model: Model,
  waiting: readonly Waiting[],
  now: number,
): Needed => {
  const readyAt = now + (readyByCopy(situation, model, now) ?? model.remoteLoadMs);
  const onTime = waiting.filter(({ onTimeBy, refused }) => !refused && onTimeBy >= readyAt);
  return {
    model,
    since: Math.min(...waiting.map(({ since }) => since)),
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
export const neededModels = (situation: Situation, now: number): Needed[] => {
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
    .sort((a, b) => b.onTime - a.onTime || b.weight - a.weight || a.deadline - b.deadline);
};
