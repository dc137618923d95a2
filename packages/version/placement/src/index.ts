export * from './accounting';
export * from './allotment';
export * from './budget';
export * from './catalogue';
export {
  Controller,
  type ControllerOptions,
  type ControllerStatus,
  type Fleet,
} from './controller';
export type { DrainMark } from './drains';
export * from './evidence';
export * from './fixed-ttl';
export * from './intent';
export * from './keep-warm';
export type { Commit } from './ledger';
export * from './loan';
export * from './messages';
export * from './protections';
export * from './record';
export * from './record-updates';
export * from './settings';
export * from './settle';
export * from './calendar';
export * from './clairvoyant';
export * from './gap-histogram';
export * from './warm-plan';
export * from './bench/policy';
