import { freeMemoryMb } from './engine-memory';
import { adapterKey, type EngineView } from './engine-view';
import { type AdapterStep, fleetIndex, type PlanInput } from './plan-input';
import { replicaWeight } from './request-limits';

const adapterCount = ({ models, unloading, adapterLoads }: EngineView): number =>
  [...models, ...unloading].reduce((sum, { adapters }) => sum + adapters.length, 0) +
  adapterLoads.size;

/** Adapters of an engine without requests in flight, the least recently used first. */
const idleAdapters = ({ demand, service }: PlanInput, engine: EngineView) =>
  engine.models
    .flatMap(({ name, adapters }) => adapters.map((adapter) => ({ model: name, adapter })))
    .filter(({ model, adapter }) => !engine.inFlight.has(adapterKey(model, adapter)))
    .map((one) => ({ ...one, usedAt: demand.lastAdapterUse(service, one.model, one.adapter) }))
    .sort((a, b) => a.usedAt - b.usedAt)
    .map(({ model, adapter }) => ({ model, adapter }));

const planAdapterLoad = (
  input: PlanInput,
  model: string,
  adapter: string,
): AdapterStep | undefined => {
  const { pool } = input;
  const replicas = fleetIndex(input).replicas(model);
  const isLoaded = replicas.some(({ models }) =>
    models.some(({ name, adapters }) => name === model && adapters.includes(adapter)),
  );
  const adapterMb = pool.models.get(model)?.adapterMb;
  const key = adapterKey(model, adapter);
  const isLoading = replicas.some(({ adapterLoads }) => adapterLoads.has(key));
  if (isLoaded || isLoading || adapterMb === undefined) return undefined;
  const options = replicas
    // Engines refuse orders for adapters while they load or unload a model.
    .filter(({ operation }) => operation === undefined)
    .map((engine) => {
      const count = adapterCount(engine);
      const excess = Math.max(0, count + 1 - pool.adapterSlots);
      const idle = idleAdapters(input, engine);
      const fits = freeMemoryMb(engine, pool) >= adapterMb && idle.length >= excess;
      return { engine, count, unload: idle.slice(0, excess), fits };
    })
    .filter(({ fits }) => fits)
    .sort(
      (a, b) =>
        replicaWeight(input, b.engine) - replicaWeight(input, a.engine) ||
        a.unload.length - b.unload.length ||
        a.count - b.count,
    );
  const [best] = options;
  if (best === undefined) return undefined;
  const { engine, unload } = best;
  return { kind: 'adapter', engine: engine.id, model, adapter, unload };
};

/**
 * The next adapter to load among those that requests wait for and that no replica of their model has
 * loaded. The caller starts the step before it plans the next one; otherwise two steps could take the
 * same slot.
 */
export const planAdapter = (input: PlanInput, now: number): AdapterStep | undefined => {
  const { demand, service } = input;
  return demand
    .current(now)
    .filter((one) => one.service === service && !one.refused)
    .flatMap(({ model, adapter }) =>
      adapter === undefined ? [] : [planAdapterLoad(input, model, adapter)],
    )
    .find((step) => step !== undefined);
};
