import type { EngineView } from './engine-view';
import { neededModels, readyMsFromCopy } from './needed-models';
import { fleetIndex, type PlanInput } from './plan-input';
import { isServed } from './request-limits';

/** Assumed remaining time of a load that is past its expected end, in ms. */
const overdueLoadMs = 300;

/** Time until an adapter can be loaded: an engine runs one load at a time. */
const adapterReadyMs = (replicas: readonly EngineView[], now: number): number =>
  Math.min(...replicas.map(({ operation }) => Math.max(0, (operation?.endsAt ?? now) - now)));

/** The model, and optionally the adapter, that a request needs. */
export interface NeededReplica {
  readonly model: string;
  readonly adapter: string | undefined;
  /** Whether engines hold the model, but their request limits leave no place in time. */
  readonly limited: boolean;
}

/**
 * Time until a model is expected to be ready, in ms; undefined if it is not in the configuration.
 * When more models without a local copy are requested than the weight store can load at once, the
 * estimate includes the loads that are queued ahead of this one.
 */
export const estimateReadyMs = (
  input: PlanInput,
  { model: name, adapter, limited }: NeededReplica,
  now: number,
): number | undefined => {
  const { engines, pool } = input;
  const model = pool.models.get(name);
  if (model === undefined) return undefined;
  const replicas = fleetIndex(input).replicas(name);
  if (!limited && isServed(input, name, now))
    return adapter === undefined ? 0 : adapterReadyMs(replicas, now);
  const loading = engines.find(
    ({ operation }) => operation?.kind === 'load' && operation.model === name,
  );
  if (loading?.operation !== undefined) {
    return Math.max(overdueLoadMs, loading.operation.endsAt - now);
  }
  const byCopyMs = readyMsFromCopy(input, model, now);
  if (byCopyMs !== undefined) return byCopyMs;
  const needed = neededModels(input, now).filter(
    (one) => readyMsFromCopy(input, one, now) === undefined,
  );
  const position = needed.findIndex((one) => one.name === name);
  const ahead = position < 0 ? needed.length : position;
  const rounds = (input.remoteLoads + ahead) / input.remoteCapacity;
  return model.remoteLoadMs * (1 + Math.max(0, rounds - 0.5));
};
