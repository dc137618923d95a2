import {
  type Clock,
  describeFailure,
  type Failure,
  FailureKind,
  type PlainAnswer,
  type PlainCall,
} from '@currantdrift/core';
import { err, type Result } from 'neverthrow';
import type { Target } from './chooser';
import type { RunnerOptions } from './generate';
import { History } from './history';
import { judgeBroken, judgeRefusal } from './judge';
import { answered, type Outcome, type Reason, reasonOf } from './outcome';
import { type AttemptSettings, defaultAttemptSettings } from './settings';
import { Stop } from './stop';

/** A call of a plain service on behalf of a caller. */
export interface ServiceRequest {
  readonly call: PlainCall;
  /** False if the call must run at most once. */
  readonly repeatable: boolean;
  /** In ms since the epoch. */
  readonly deadline: number;
}

/** Waits for the answer of a dispatched call, not longer than `timeoutMs` or until `stop`. */
const dispatch = async (
  target: Target,
  call: PlainCall,
  stop: Stop,
  clock: Clock,
  timeoutMs: number,
): Promise<Result<PlainAnswer, Failure>> => {
  const over = new AbortController();
  const undo = stop.onEnd(() => over.abort());
  const fail = (message: string) => {
    const peer = target.endpoint.id;
    return err({ kind: FailureKind.unknown, step: 'attempt.call', peer, message });
  };
  const send = async () => target.endpoint.call(call, over.signal);
  const answer = send().catch((error: unknown) => fail(String(error)));
  const silence = clock
    .sleep(timeoutMs, over.signal)
    .then(() => fail(stop.reason?.message ?? `no answer for ${timeoutMs} ms`));
  const result = await Promise.race([answer, silence]);
  undo();
  over.abort();
  return result;
};

/**
 * Calls a plain service. A repeatable call is retried on other endpoints while the deadline and
 * the retry budget allow. Any other call is sent once: another endpoint is tried only after one
 * that could not be reached, to which no byte was sent.
 */
export const callService = async (
  request: ServiceRequest,
  options: Omit<RunnerOptions, 'onDropped'>,
): Promise<Outcome<PlainAnswer>> => {
  const { call, repeatable, deadline } = request;
  const { budget, choose, clock, observer, signal } = options;
  const settings: AttemptSettings = { ...defaultAttemptSettings, ...options.settings };
  const history = History.create(call.requestId);
  const stop = Stop.start('call', clock, deadline, signal);
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
    const { endpoint, lease: place } = chosen.value;
    if (stop.reason !== undefined) {
      place.release('neutral', clock.now());
      return conclude(stop.reason);
    }
    const sent = history.dispatch(endpoint.id);
    const news = { attempt: sent.attempt, endpoint: endpoint.id, cause } as const;
    observer?.({ kind: 'started', ...news });
    const startedAt = clock.now();
    const timeoutMs = repeatable ? settings.callTimeoutMs : Math.max(0, deadline - startedAt);
    const result = await dispatch(chosen.value, call, stop, clock, timeoutMs);
    const now = clock.now();
    if (result.isOk()) {
      stop.end();
      place.observe(now - startedAt, now);
      place.release('succeeded', now);
      budget.deposit(now);
      observer?.({ kind: 'ended', ...news, result: 'complete' });
      return answered(result.value);
    }
    const failure = result.error;
    const notRun = history.fail(sent, failure);
    const stopped = stopReason();
    place.release(notRun ? judgeRefusal(failure) : judgeBroken(stopped), now);
    const broken = stopped === undefined ? 'broken' : 'cancelled';
    const message = describeFailure(failure);
    observer?.({ kind: 'ended', ...news, result: notRun ? 'refused' : broken, message });
    if (stopped !== undefined) return conclude(stopped);
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
