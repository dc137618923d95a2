export { callService, type ServiceRequest } from './call-service';
export type {
  AttemptEvent,
  Cause,
  AttemptContext as AttemptContext,
  Chooser,
  Place,
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
  Sent,
  type Unknown,
  unknown,
  Unsent,
} from './outcome';
export { allPartChecks, checkPart, type PartChecks, type Verdict } from './part-check';
export { defaultRetryBudgetSettings, RetryBudget, type RetryBudgetSettings } from './retry-budget';
export { type AttemptSettings, defaultAttemptSettings } from './settings';
