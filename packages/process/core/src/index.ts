export * from './answer-times';
export * from './bounded-map';
export * from './bundle';
export * from './clock';
export * from './decode-json';
export * from './digest';
export * from './endpoint';
export * from './era';
export * from './failure';
export * from './hash';
export * from './hosts';
export * from './item';
export * from './loop-ticks';
export * from './nearest-word';
export * from './network';
export * from './planned-stop';
export * from './prefix-store';
export * from './random';
export * from './seeded-random';
export * from './monotonic-clock';
export * from './store';
export * from './store-revision';
export * from './telemetry';
export * from './view';
export {
  type LimitListener,
  type LimitSource,
  parseStatedLimit,
  type StatedLimit,
} from './request-limit';
export { awaitStopSignal } from './stop-signal';
