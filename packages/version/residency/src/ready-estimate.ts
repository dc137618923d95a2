import type { WaitingRequest } from './demand';
import { EvictionPlanner } from './evictions';
import { type EngineOperation, type EngineView, LoadSource, loadSource } from './engine-view';
import { LoadForecast } from './load-forecast';
import type { LoadForecasts } from './load-forecasts';
import { neededModels, readyMsFromCopy } from './needed-models';
import { fleetIndex, type PlanInput } from './plan-input';
import { isServed } from './request-limits';

/** Least assumed remaining time of a load that is past its expected end, in ms. */
const overdueLoadMs = 300;

/** Assumed remaining time of such a load while models are queued, as a fraction of its delay. */
const overdueRatio = 0.5;

/** Time until an adapter can be loaded: an engine runs one load at a time. */
const adapterReadyMs = (replicas: readonly EngineView[], now: number): number =>
  Math.min(...replicas.map(({ operation }) => Math.max(0, (operation?.endsAt ?? now) - now)));

/** The model, and optionally the adapter, that a request needs. */
export interface NeededReplica {
  readonly model: string;
  readonly adapter: string | undefined;
  /** Whether engines hold the model, but their request limits leave no place in time. */
  readonly limited: boolean;
  /** Priority of the request; 0, the most urgent, if it is not given. */
  readonly priority?: number;
  /** Time until the request misses its first-byte target, in ms; no target if it is not given. */
  readonly onTimeLeftMs?: number;
}

/** When a model is expected to be ready. */
export interface ReadyEstimate {
  /** Time until the model is ready, in ms; 0 if it is ready now. */
  readonly readyMs: number;
  /** Where the weights come from; undefined if the model is ready now. */
  readonly source: LoadSource | undefined;
  /** Whether the estimate considers other models that wait for engines. */
  readonly isQueued: boolean;
}

const readyEstimate = (readyMs: number, source: LoadSource, isQueued = false): ReadyEstimate => ({
  readyMs,
  source,
  isQueued,
});

/** A request that stands for the one whose estimate is asked and that is not registered yet. */
const requestFor = (
  { service, settings }: PlanInput,
  { model, adapter, limited, priority = 0, onTimeLeftMs = Infinity }: NeededReplica,
  now: number,
): WaitingRequest => ({
  request: '',
  service,
  model,
  adapter,
  deadline: Infinity,
  onTimeDeadline: now + onTimeLeftMs - settings.firstByteMs,
  priority,
  limited,
  lastSeenAt: now,
  refused: false,
});

const remainingMs = ({ endsAt }: EngineOperation, isQueued: boolean, now: number): number => {
  const overdueMs = isQueued ? (now - endsAt) * overdueRatio : 0;
  return Math.max(overdueLoadMs, endsAt - now, overdueMs);
};

/** The source that an engine with a copy would use. */
const copySource = (input: PlanInput, model: string): LoadSource => {
  const engines = fleetIndex(input).enginesWithCopy(model);
  return engines.some((engine) => loadSource(engine, model) === LoadSource.memory)
    ? LoadSource.memory
    : LoadSource.disk;
};

/**
 * The estimate if no other model waits for an engine. When more models without a local copy are
 * requested than the weight store can load at once, it includes the loads that are queued ahead.
 */
const estimateAlone = (input: PlanInput, name: string, now: number): ReadyEstimate | undefined => {
  const model = input.pool.models.get(name);
  if (model === undefined) return undefined;
  const byCopyMs = readyMsFromCopy(input, model, now);
  if (byCopyMs !== undefined) return readyEstimate(byCopyMs, copySource(input, name));
  const needed = neededModels(input, now).filter(
    (one) => readyMsFromCopy(input, one.model, now) === undefined,
  );
  const position = needed.findIndex((one) => one.model.name === name);
  const ahead = position < 0 ? needed.length : position;
  const rounds = (input.remoteLoads + ahead) / input.remoteCapacity;
  const readyMs = model.remoteLoadMs * (1 + Math.max(0, rounds - 0.5));
  return readyEstimate(readyMs, LoadSource.remote);
};

/**
 * When a model is expected to be ready; undefined if it is not in the configuration. `forecasts` holds
 * the forecast of earlier estimates, which is used while it is recent.
 */
export const estimateReady = (
  input: PlanInput,
  need: NeededReplica,
  now: number,
  forecasts?: LoadForecasts,
): ReadyEstimate | undefined => {
  const { model: name, adapter, limited } = need;
  if (!input.pool.models.has(name)) return undefined;
  if (!limited && isServed(input, name, now)) {
    const replicas = fleetIndex(input).replicas(name);
    const readyMs = adapter === undefined ? 0 : adapterReadyMs(replicas, now);
    return { readyMs, source: undefined, isQueued: false };
  }
  const loading = input.engines.find(
    ({ operation }) => operation?.kind === 'load' && operation.model === name,
  );
  if (loading?.operation !== undefined) {
    const { operation } = loading;
    const source = operation.remote ? LoadSource.remote : LoadSource.disk;
    const isQueued = EvictionPlanner.of(input, now).needs.length > 0;
    return readyEstimate(remainingMs(operation, isQueued, now), source, isQueued);
  }
  const request = requestFor(input, need, now);
  const forecast = forecasts
    ? forecasts.current(input, now, request)
    : LoadForecast.create(input, now, request);
  const load = forecast?.load(name);
  return load === undefined
    ? estimateAlone(input, name, now)
    : readyEstimate(Math.max(0, load.readyAt - now), load.source, true);
};

/** Time until a model is expected to be ready, in ms; undefined if it is not in the configuration. */
export const estimateReadyMs = (
  input: PlanInput,
  need: NeededReplica,
  now: number,
): number | undefined => estimateReady(input, need, now)?.readyMs;
