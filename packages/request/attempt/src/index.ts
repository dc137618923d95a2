export { callService, type ServiceRequest } from './call-service';
export type {
  AttemptCause,
  AttemptContext,
  AttemptEvent,
  Chooser,
  Lease,
  Target,
  TargetResult,
} from './chooser';
export {
  generate,
  type GeneratedAnswer,
  type GenerateRequest,
  type GenerationRun,
  type RunnerOptions,
} from './generate';
export {
  type Answered,
  answered,
  NotRun,
  type Outcome,
  type Reason,
  SentAttempt,
  type Unknown,
  unknown,
  UnsentAttempt,
} from './outcome';
export { allPartChecks, checkPart, type PartAction, type PartChecks } from './part-check';
export { defaultRetryBudgetSettings, RetryBudget, type RetryBudgetSettings } from './retry-budget';
export { type AttemptSettings, defaultAttemptSettings } from './settings';
