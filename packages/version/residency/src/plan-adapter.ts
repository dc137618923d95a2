import { adapterKey, type EngineView } from './engine-view';
import { freeMemory } from './room';
import { type AdapterStep, fleetOf, type PlanInput } from './situation';

const adapterCount = ({ models, unloading, adapterLoads }: EngineView): number =>
  [...models, ...unloading].reduce((sum, { adapters }) => sum + adapters.length, 0) +
  adapterLoads.size;

/** Adapters of an engine that no request uses, the least recently used first. */
const idleAdapters = ({ demand, service }: PlanInput, engine: EngineView) =>
  engine.models
    .flatMap(({ name, adapters }) => adapters.map((adapter) => ({ model: name, adapter })))
    .filter(({ model, adapter }) => !engine.inFlight.has(adapterKey(model, adapter)))
    .map((one) => ({ ...one, usedAt: demand.adapterUsedAt(service, one.model, one.adapter) }))
    .sort((a, b) => a.usedAt - b.usedAt)
    .map(({ model, adapter }) => ({ model, adapter }));

const stepForAdapter = (
  situation: PlanInput,
  model: string,
  adapter: string,
): AdapterStep | undefined => {
  const { pool } = situation;
  const replicas = fleetOf(situation).replicas(model);
  const isHeld = replicas.some(({ models }) =>
    models.some(({ name, adapters }) => name === model && adapters.includes(adapter)),
  );
  const adapterMb = pool.models.get(model)?.adapterMb;
  const key = adapterKey(model, adapter);
  const isLoadingIt = replicas.some(({ adapterLoads }) => adapterLoads.has(key));
  if (isHeld || isLoadingIt || adapterMb === undefined) return undefined;
  const options = replicas
    // Engines refuse orders for adapters while they load or unload a model.
    .filter(({ operation }) => operation === undefined)
    .map((engine) => {
      const count = adapterCount(engine);
      const excess = Math.max(0, count + 1 - pool.adapterSlots);
      const idle = idleAdapters(situation, engine);
      const fits = freeMemory(engine, pool) >= adapterMb && idle.length >= excess;
      return { engine, count, unload: idle.slice(0, excess), fits };
    })
    .filter(({ fits }) => fits)
    .sort((a, b) => a.unload.length - b.unload.length || a.count - b.count);
  const [best] = options;
  if (best === undefined) return undefined;
  const { engine, unload } = best;
  return { kind: 'adapter', engine: engine.id, model, adapter, unload };
};

/**
 * The next adapter to load that requests wait for and that no engine with its model holds. Its step
 * has to be begun before the next one is planned, so that no two of them take the same slot.
 */
export const planAdapter = (situation: PlanInput, now: number): AdapterStep | undefined => {
  const { demand, service } = situation;
  return demand
    .current(now)
    .filter((one) => one.service === service && !one.refused)
    .flatMap(({ model, adapter }) =>
      adapter === undefined ? [] : [stepForAdapter(situation, model, adapter)],
    )
    .find((step) => step !== undefined);
};
