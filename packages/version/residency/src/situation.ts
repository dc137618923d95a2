import type { EnginePool, Model } from '@currantdrift/routes';
import type { Demand } from './demand';
import { type EngineView, LoadSource } from './engine-view';
import { FleetIndex } from './fleet-index';
import type { ResidencySettings } from './residency-settings';

/** What the plan is made from. */
export interface PlanInput {
  readonly service: string;
  readonly pool: EnginePool;
  readonly engines: readonly EngineView[];
  readonly demand: Demand;
  /** Loads from the weight store under way, over all services. */
  readonly remoteLoads: number;
  /** Loads that the weight store carries at once at full speed. */
  readonly remoteCapacity: number;
  /** True before the first request of the deployment. */
  readonly beforeDemand: boolean;
  readonly settings: ResidencySettings;
}

/** Why a model is loaded. */
export const LoadReason = {
  /** Requests wait for it and no engine holds it. */
  waiting: 'waiting',
  /** Its replicas carry more than their share of requests. */
  busy: 'busy',
  /** No engine has a copy of it, and the weight store is idle. */
  copy: 'copy',
} as const;
export type LoadReason = (typeof LoadReason)[keyof typeof LoadReason];

/** Unloads some models of an engine, then loads one. */
export interface LoadStep {
  readonly kind: 'load';
  readonly engine: string;
  readonly model: string;
  readonly unload: readonly string[];
  readonly source: LoadSource;
  readonly loadMs: number;
  readonly reason: LoadReason;
}

/** Loads an adapter of a held model, after unloading others if need be. */
export interface AdapterStep {
  readonly kind: 'adapter';
  readonly engine: string;
  readonly model: string;
  readonly adapter: string;
  readonly unload: readonly { readonly model: string; readonly adapter: string }[];
}

export type Step = LoadStep | AdapterStep;

/** Time that a load takes, in ms. */
export const loadTime = (model: Model, source: LoadSource): number => {
  if (source === LoadSource.memory) return model.memoryLoadMs;
  return source === LoadSource.disk ? model.diskLoadMs : model.remoteLoadMs;
};

/** The engines by what they hold. */
export const fleetOf = ({ engines }: PlanInput): FleetIndex => FleetIndex.of(engines);
