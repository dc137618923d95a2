import type { EnginePool, Model } from '@currantdrift/routes';
import type { Demand } from './demand';
import { type EngineView, LoadSource } from './engine-view';
import { FleetIndex } from './fleet-index';
import type { ResidencySettings } from './residency-settings';

/** State of a service's engines and demand from which loads are planned. */
export interface PlanInput {
  readonly service: string;
  readonly pool: EnginePool;
  readonly engines: readonly EngineView[];
  readonly demand: Demand;
  /** Loads from the weight store in progress, over all services. */
  readonly remoteLoads: number;
  /** Concurrent loads that the weight store serves at full speed. */
  readonly remoteCapacity: number;
  /** True before the first request of the deployment. */
  readonly beforeDemand: boolean;
  readonly settings: ResidencySettings;
}

/** Why a model is loaded. */
export const LoadReason = {
  /** Requests wait for the model and no engine has it loaded. */
  waiting: 'waiting',
  /** The model has fewer replicas than its load requires. */
  busy: 'busy',
  /** No engine has a copy of the model, and the weight store has spare capacity. */
  copy: 'copy',
} as const;
export type LoadReason = (typeof LoadReason)[keyof typeof LoadReason];

/** Unloads the models in `unload` from an engine, then loads one. */
export interface LoadStep {
  readonly kind: 'load';
  readonly engine: string;
  readonly model: string;
  readonly unload: readonly string[];
  readonly source: LoadSource;
  readonly loadMs: number;
  /** Expected time until the engine takes the order, in ms. */
  readonly orderMs: number;
  /** Expected time until the models in `unload` have no running requests, in ms. */
  readonly drainMs: number;
  readonly reason: LoadReason;
}

/** Loads an adapter of a loaded model after unloading the adapters in `unload`. */
export interface AdapterStep {
  readonly kind: 'adapter';
  readonly engine: string;
  readonly model: string;
  readonly adapter: string;
  readonly unload: readonly { readonly model: string; readonly adapter: string }[];
}

export type Step = LoadStep | AdapterStep;

/** Expected time of a load from a source, in ms. */
export const loadTimeMs = (model: Model, source: LoadSource): number => {
  if (source === LoadSource.memory) return model.memoryLoadMs;
  return source === LoadSource.disk ? model.diskLoadMs : model.remoteLoadMs;
};

/** The index of the input's engines by model. */
export const fleetIndex = ({ engines }: PlanInput): FleetIndex => FleetIndex.of(engines);
