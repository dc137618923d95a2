import type { EngineView } from './engine-view';
import { neededModels, readyByCopy } from './needed-models';
import { fleetOf, type PlanInput } from './situation';

/** Time that a load is expected to take still once it is overdue, in ms. */
const overdueLoadMs = 300;

/** Time until an adapter can be loaded beside its model: engines load one thing at a time. */
const adapterReadyIn = (replicas: readonly EngineView[], now: number): number =>
  Math.min(...replicas.map(({ operation }) => Math.max(0, (operation?.endsAt ?? now) - now)));

/**
 * Time until a model is expected to be ready, in ms; undefined if the configuration does not name
 * it. Answers the load pattern "more models without a copy are asked for than the weight store
 * carries": the estimate counts the loads that are ahead of this one.
 */
export const estimateReadyMs = (
  situation: PlanInput,
  name: string,
  adapter: string | undefined,
  now: number,
): number | undefined => {
  const { engines, pool } = situation;
  const model = pool.models.get(name);
  if (model === undefined) return undefined;
  const replicas = fleetOf(situation).replicas(name);
  if (replicas.length > 0) return adapter === undefined ? 0 : adapterReadyIn(replicas, now);
  const loading = engines.find(
    ({ operation }) => operation?.kind === 'load' && operation.model === name,
  );
  if (loading?.operation !== undefined) {
    return Math.max(overdueLoadMs, loading.operation.endsAt - now);
  }
  const byCopyMs = readyByCopy(situation, model, now);
  if (byCopyMs !== undefined) return byCopyMs;
  const needed = neededModels(situation, now).filter(
    (one) => readyByCopy(situation, one, now) === undefined,
  );
  const position = needed.findIndex((one) => one.name === name);
  const ahead = position < 0 ? needed.length : position;
  const rounds = (situation.remoteLoads + ahead) / situation.remoteCapacity;
  return model.remoteLoadMs * (1 + Math.max(0, rounds - 0.5));
};
