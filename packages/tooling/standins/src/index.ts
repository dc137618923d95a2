export { expectedTokens, type Prompt } from './answer-text';
export { EngineStandin, type EngineOptions, type EngineStats, type Run } from './engine-standin';
export { HostsStandin } from './hosts-standin';
export { type Exit, ManagedProcess, type ProcessOptions } from './managed-process';
export { prefixOf } from './prefix-cache';
export { ServiceStandin, type ServiceStats } from './service-standin';
export type { Standin } from './standin';
export { StoreStandin } from './store-standin';
export { WeightsStandin } from './weights-standin';
