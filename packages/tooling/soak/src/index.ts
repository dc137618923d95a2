export { Checker, type CheckerBounds, haltOf, stopOf } from './checker';
export { Child } from './child';
export {
  type CrashingArrival,
  type CrashingRequests,
  lostSoundViolations,
  repeatedCrashViolations,
  type SoundRequest,
} from './crash-check';
export { Disturbances } from './disturbances';
export { FaultSeries, type Fault } from './fault-series';
export { keyViolations } from './key-check';
export { limitViolations } from './limit-check';
export { MemoryWatch } from './memory-watch';
export { LoopbackProxy } from './loopback-proxy';
export {
  type Arrival,
  type Attempt,
  CauseKind,
  type EngineCrash,
  Kind,
  type Limit,
  type Order,
  type Refusal,
  type Run,
} from './observations';
export { lostStreamViolations, mixedStreamViolations } from './stream-check';
export { report } from './report';
export { Timeline } from './timeline';
export type { Violation } from './violation';
