export { Checker, type CheckerLimits, stopOf, type Violation } from './checker';
export { Child } from './child';
export { Disturbances } from './disturbances';
export { FaultSeries, type Fault } from './fault-series';
export { LoopbackProxy } from './loopback-proxy';
export { type Attempt, Kind, type Order, type Run } from './observations';
export { report } from './report';
export { Timeline } from './timeline';
