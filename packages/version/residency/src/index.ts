export { Demand, type Waiting } from './demand';
export {
  adapterKey,
  type EngineView,
  holdsModel,
  LoadSource,
  type EngineOperation as EngineOperation,
  sourceOf,
} from './engine-view';
export { estimateReadyMs as estimateReadyMs } from './estimate';
export { planAdapter } from './plan-adapter';
export { planLoad } from './plan-load';
export { defaultResidencySettings, type ResidencySettings } from './residency-settings';
export {
  type AdapterStep,
  LoadReason,
  type LoadStep,
  type PlanInput as PlanInput,
  type Step,
} from './situation';
export { targetReplicas } from './target-replicas';
export { AdaptiveLoadLimit as AdaptiveLoadLimit } from './weight-store-pace';
