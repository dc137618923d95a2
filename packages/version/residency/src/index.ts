export { Demand, type Waiting } from './demand';
export {
  adapterKey,
  type EngineView,
  holdsModel,
  LoadSource,
  type Operation,
  sourceOf,
} from './engine-view';
export { readyIn } from './estimate';
export { planAdapter } from './plan-adapter';
export { planLoad } from './plan-load';
export { defaultResidencySettings, type ResidencySettings } from './residency-settings';
export {
  type AdapterStep,
  LoadReason,
  type LoadStep,
  type Situation,
  type Step,
} from './situation';
export { targetReplicas } from './target-replicas';
export { WeightStorePace } from './weight-store-pace';
