import {
  type Clock,
  describeFailure,
  type Failure,
  FailureKind,
  type ServiceCallResponse,
  type ServiceCallRequest,
} from '@currantdrift/core';
import { err, type Result } from 'neverthrow';
import type { Target } from './chooser';
import type { RunnerOptions } from './generate';
import { AttemptHistory } from './history';
import { answered, type Outcome, type Reason, reasonOf } from './outcome';
import { type AttemptSettings, defaultAttemptSettings } from './settings';
import { StopController } from './stop-controller';
import { resultOfFailure, resultOfRefusal } from './target-result';

/** A call to a plain (non-generating) service on behalf of a caller. */
export interface ServiceRequest {
  readonly call: ServiceCallRequest;
  /** False if the call must run at most once. */
  readonly repeatable: boolean;
  /** In ms since the epoch. */
  readonly deadline: number;
}

/** Sends a call and waits for its answer until `timeoutMs` has passed or `stop` is triggered. */
const dispatch = async (
  target: Target,
  call: ServiceCallRequest,
  stop: StopController,
  clock: Clock,
  timeoutMs: number,
): Promise<Result<ServiceCallResponse, Failure>> => {
  const finished = new AbortController();
  const removeListener = stop.onEnd(() => finished.abort());
  const fail = (message: string) => {
    const peer = target.endpoint.id;
    return err({ kind: FailureKind.unknown, step: 'attempt.call', peer, message });
  };
  const send = async () => target.endpoint.call(call, finished.signal);
  const answer = send().catch((error: unknown) => fail(String(error)));
  const timeout = clock
    .sleep(timeoutMs, finished.signal)
    .then(() => fail(stop.reason?.message ?? `no answer for ${timeoutMs} ms`));
  const result = await Promise.race([answer, timeout]);
  removeListener();
  finished.abort();
  return result;
};

/**
 * Calls a plain service. A repeatable call is retried on other endpoints while the deadline and
 * the retry budget allow. Any other call is sent at most once: another endpoint is tried only if
 * the previous one was unreachable, in which case no byte of the call was sent.
 */
export const callService = async (
  request: ServiceRequest,
  options: Omit<RunnerOptions, 'onDropped'>,
): Promise<Outcome<ServiceCallResponse>> => {
  const { call, repeatable, deadline } = request;
  const { budget, choose, clock, observer, signal } = options;
  const settings: AttemptSettings = { ...defaultAttemptSettings, ...options.settings };
  const history = AttemptHistory.create(call.requestId);
  const stop = StopController.start('call', clock, deadline, signal);
  const stopReason = (): Reason | undefined => stop.reason;
  const conclude = (reason: Reason) => {
    stop.end();
    return history.conclude(reason, settings.defaultRetryAfterMs);
  };
  let last: 'refused' | 'broken' | undefined;
  for (;;) {
    const cause = history.attempts === 0 ? 'first' : 'retry';
    const chosen = await stop.choose(choose, history.tried, { cause, last }, clock);
    if (chosen.isErr()) return conclude(chosen.error);
    const { endpoint, lease } = chosen.value;
    if (stop.reason !== undefined) {
      lease.release('neutral', clock.now());
      return conclude(stop.reason);
    }
    const sent = history.dispatch(endpoint.id);
    const eventFields = { attempt: sent.attempt, endpoint: endpoint.id, cause } as const;
    observer?.({ kind: 'started', ...eventFields });
    const startedAt = clock.now();
    const timeoutMs = repeatable ? settings.callTimeoutMs : Math.max(0, deadline - startedAt);
    const result = await dispatch(chosen.value, call, stop, clock, timeoutMs);
    const now = clock.now();
    if (result.isOk()) {
      stop.end();
      lease.observe(now - startedAt, now);
      lease.release('succeeded', now);
      budget.deposit(now);
      observer?.({ kind: 'ended', ...eventFields, result: 'complete' });
      return answered(result.value);
    }
    const failure = result.error;
    const notRun = history.recordFailure(sent, failure);
    const endReason = stopReason();
    lease.release(notRun ? resultOfRefusal(failure) : resultOfFailure(endReason), now);
    const broken = endReason === undefined ? 'broken' : 'cancelled';
    const message = describeFailure(failure);
    observer?.({ kind: 'ended', ...eventFields, result: notRun ? 'refused' : broken, message });
    if (endReason !== undefined) return conclude(endReason);
    const unsent = failure.kind === FailureKind.unreachable;
    if (!(repeatable || unsent) || history.attempts >= settings.maxAttempts) {
      return conclude(reasonOf(failure));
    }
    last = notRun ? 'refused' : 'broken';
    if (!budget.withdraw(now)) {
      const reason = reasonOf(failure);
      return conclude({ ...reason, message: `${reason.message}; the retry budget is used up` });
    }
  }
};
