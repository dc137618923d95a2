export { Checker, type CheckerLimits, haltOf, stopOf, type Violation } from './checker';
export { Child } from './child';
export { Disturbances } from './disturbances';
export { FaultSeries, type Fault } from './fault-series';
export { MemoryWatch } from './memory-watch';
export { LoopbackProxy } from './loopback-proxy';
export { type Attempt, Kind, type Order, type Refusal, type Run } from './observations';
export { report } from './report';
export { Timeline } from './timeline';
