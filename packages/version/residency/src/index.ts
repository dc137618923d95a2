export { Demand, type WaitingRequest } from './demand';
export {
  adapterKey,
  type EngineOperation,
  type EngineView,
  hasLoadedModel,
  LoadSource,
  loadSource,
} from './engine-view';
export {
  estimateReady,
  estimateReadyMs,
  type NeededReplica,
  type ReadyEstimate,
} from './ready-estimate';
export { LoadForecasts } from './load-forecasts';
export { type LoadPromise, LoadPromises, type SettledPromise } from './load-promises';
export { planAdapter } from './plan-adapter';
export { planLoad } from './plan-load';
export { defaultResidencySettings, type ResidencySettings } from './residency-settings';
export {
  type AdapterStep,
  LoadReason,
  type LoadStep,
  type PlanInput,
  type Step,
} from './plan-input';
export { targetReplicas } from './target-replicas';
export { AdaptiveLoadLimit } from './weight-store-pace';
