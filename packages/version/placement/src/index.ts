export * from './accounting';
export * from './allotment';
export * from './budget';
export * from './catalogue';
export {
  Controller,
  type ControllerOptions,
  type ControllerStatus,
  type FleetSize as Fleet,
} from './controller';
export type { DrainMark } from './drains';
export * from './engine-status';
export * from './fixed-ttl';
export * from './intent';
export * from './keep-warm';
export type { CommitResult as Commit } from './record-writer';
export * from './loan';
export * from './messages';
export * from './protections';
export * from './record';
export * from './record-updates';
export * from './settings';
export * from './apply-report';
export * from './calendar';
export * from './clairvoyant';
export * from './gap-histogram';
export * from './warm-plan';
export * from './bench/policy';
