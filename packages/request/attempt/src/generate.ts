import { type Clock, describeFailure, type GenerationRequest } from '@currantdrift/core';
import type {
  AttemptCause,
  AttemptContext,
  AttemptEvent,
  Chooser,
  Target,
  TargetResult,
} from './chooser';
import { AttemptHistory } from './history';
import { answered, type Outcome, type Reason, reasonOf } from './outcome';
import type { RetryBudget } from './retry-budget';
import { type AttemptSettings, defaultAttemptSettings } from './settings';
import { StopController } from './stop-controller';
import { type AttemptEnd, StreamAttempt, type TokenSink } from './stream-attempt';
import { resultOfRefusal } from './target-result';
import { TokenBuffer } from './token-buffer';

/** A request to generate an answer. */
export interface GenerateRequest extends Omit<GenerationRequest, 'attempt' | 'resume'> {
  /** In ms since the epoch. */
  readonly deadline: number;
  /**
   * False if the request must not run twice, even in part: it is then retried only after a
   * refusal and never hedged. True by default.
   */
  readonly repeatable?: boolean;
  /** Tokens that were delivered before this run; generation continues after them. */
  readonly resume?: readonly string[];
  /** Software version of the engine that wrote them; undefined if it is not known. */
  readonly softwareVersion?: string;
}

/** Dependencies and settings of `generate` and `callService`. */
export interface RunnerOptions {
  readonly choose: Chooser;
  readonly clock: Clock;
  /** Shared by all requests of the daemon. */
  readonly budget: RetryBudget;
  readonly settings?: Partial<AttemptSettings>;
  /**
   * Aborted when the caller disconnects. Omitted for a service call that must run at most once:
   * aborting it would leave its outcome unknown.
   */
  readonly signal?: AbortSignal;
  readonly observer?: (event: AttemptEvent) => void;
  /** Called for each dropped part with `other_request`, `other_attempt` or `duplicate`. */
  readonly onDropped?: (reason: string) => void;
}

/** An answer that was delivered completely. */
export interface GeneratedAnswer {
  /** All tokens, including those in `GenerateRequest.resume`. */
  readonly tokens: readonly string[];
  readonly finishReason: 'stop' | 'length';
  readonly attempts: number;
}

/** A generation in progress. */
export interface GenerationRun {
  /**
   * Tokens in order, grouped as they arrived. Supports a single reader; a reader that stops
   * iterating early cancels the request.
   */
  readonly deltas: AsyncIterable<readonly string[]>;
  /**
   * Settles when the request has ended. `unknown` and `notRun` carry `retryAfterMs`; the tokens
   * delivered until then are a prefix of an answer.
   */
  readonly outcome: Promise<Outcome<GeneratedAnswer>>;
  /** Software version of the engine that wrote the first tokens; undefined if it is not known. */
  softwareVersion(): string | undefined;
  /** Cancels the request because its answer is no longer needed. */
  cancel(): void;
}

interface RunningAttempt {
  readonly attempt: StreamAttempt;
  readonly finished: Promise<{
    readonly kind: 'finished';
    readonly attempt: StreamAttempt;
    readonly end: AttemptEnd;
  }>;
}

interface HedgeResult {
  readonly kind: 'hedged';
  readonly second: RunningAttempt | undefined;
}

class GenerationRunner implements TokenSink {
  readonly buffer: TokenBuffer;

  readonly stop: StopController;

  private readonly history: AttemptHistory;

  private readonly settings: AttemptSettings;

  private readonly tokens: string[];

  private readonly live = new Set<StreamAttempt>();

  /** Software version of the engine that wrote the first tokens. */
  softwareVersion: string | undefined;

  /** The attempt whose tokens are delivered. */
  private winner: StreamAttempt | undefined;

  constructor(
    private readonly request: GenerateRequest,
    private readonly options: RunnerOptions,
  ) {
    this.settings = { ...defaultAttemptSettings, ...options.settings };
    this.history = AttemptHistory.create(request.requestId);
    this.tokens = [...(request.resume ?? [])];
    this.softwareVersion = request.softwareVersion;
    this.stop = StopController.start('generate', options.clock, request.deadline, options.signal);
    this.buffer = TokenBuffer.create(this.settings.maxBufferedTokens, () =>
      this.stop.trigger('caller', 'the caller has stopped reading'),
    );
    this.stop.onEnd(() => this.cancelLive());
  }

  async run(): Promise<Outcome<GeneratedAnswer>> {
    // Only a bug in the daemon throws here. The request still gets an outcome.
    const outcome = await this.runAttempts().catch((error: unknown) =>
      this.conclude({ step: 'generate', peer: 'self', message: String(error) }),
    );
    this.stop.end();
    this.buffer.end();
    return outcome;
  }

  accept(attempt: StreamAttempt, tokens: readonly string[]): boolean {
    if (this.winner === undefined) {
      this.winner = attempt;
      this.cancelLive(attempt);
    }
    if (this.winner !== attempt) return false;
    this.softwareVersion ??= attempt.target.softwareVersion?.();
    this.tokens.push(...tokens);
    this.buffer.push(tokens);
    return true;
  }

  whenWritable(): Promise<void> | undefined {
    return this.buffer.isFull ? this.buffer.whenWritable() : undefined;
  }

  onDropped(reason: string): void {
    this.options.onDropped?.(reason);
  }

  private async runAttempts(): Promise<Outcome<GeneratedAnswer>> {
    const { budget, choose, clock } = this.options;
    let context: AttemptContext = { cause: 'first', last: undefined };
    for (;;) {
      const { softwareVersion } = this;
      const bound = { ...context, softwareVersion };
      const chosen = await this.stop.choose(choose, this.history.tried, bound, clock);
      if (chosen.isErr()) return this.conclude(chosen.error);
      if (this.stop.reason !== undefined) {
        chosen.value.lease.release('neutral', clock.now());
        return this.conclude(this.stop.reason);
      }
      const end = await this.runWithHedge(this.start(chosen.value, context.cause));
      if (end.kind === 'complete') {
        budget.deposit(clock.now());
        const { tokens, history } = this;
        return answered({ tokens, finishReason: end.finishReason, attempts: history.attempts });
      }
      const reason = this.takeRetry(end);
      if (reason !== undefined) return this.conclude(reason);
      const last = end.kind === 'cancelled' ? undefined : end.kind;
      context = { cause: this.hasDelivered ? 'resume' : 'retry', last };
    }
  }

  /** Withdraws a retry from the budget; returns the reason to end the request if none is allowed. */
  private takeRetry(end: Exclude<AttemptEnd, { kind: 'complete' }>): Reason | undefined {
    if (this.stop.reason !== undefined) return this.stop.reason;
    const reason: Reason =
      end.kind === 'cancelled'
        ? { step: 'generate', peer: 'self', message: 'cancelled' }
        : reasonOf(end.failure);
    if (end.kind === 'cancelled') return reason;
    if (end.kind !== 'refused' && this.request.repeatable === false) return reason;
    if (this.history.attempts >= this.settings.maxAttempts) return reason;
    return this.options.budget.withdraw(this.options.clock.now())
      ? undefined
      : { ...reason, message: `${reason.message}; the retry budget is used up` };
  }

  /** Starts an attempt. `finished` settles after the attempt has ended and was recorded. */
  private start(target: Target, cause: AttemptCause): RunningAttempt {
    const { clock } = this.options;
    const sent = this.history.dispatch(target.endpoint.id);
    const { deadline, repeatable, softwareVersion, ...generation } = this.request;
    const attempt = StreamAttempt.start(
      target,
      { ...generation, attempt: sent.attempt, resume: this.tokens.slice() },
      sent,
      this,
      clock,
      this.settings,
    );
    this.live.add(attempt);
    this.options.observer?.({
      kind: 'started',
      attempt: attempt.number,
      endpoint: target.endpoint.id,
      cause,
    });
    const finished = attempt.ended.then((end) => {
      this.recordEnd(attempt, end, cause);
      return { kind: 'finished', attempt, end } as const;
    });
    return { attempt, finished };
  }

  /** Runs an attempt and hedges it with a second one if its first token is late. */
  private async runWithHedge(first: RunningAttempt): Promise<AttemptEnd> {
    this.winner = undefined;
    const raceEnded = new AbortController();
    const running = new Map([[first.attempt, first.finished]]);
    let hedge = this.canHedge() ? [this.hedge(raceEnded.signal)] : [];
    let last: AttemptEnd = { kind: 'cancelled' };
    while (running.size > 0 && last.kind !== 'complete') {
      const event = await Promise.race([...running.values(), ...hedge]);
      if (event.kind === 'hedged') {
        hedge = [];
        if (event.second) running.set(event.second.attempt, event.second.finished);
      } else {
        running.delete(event.attempt);
        if (event.end.kind !== 'cancelled') last = event.end;
      }
    }
    raceEnded.abort();
    this.cancelLive();
    return last;
  }

  private canHedge(): boolean {
    const { hedgeAfterMs, maxAttempts } = this.settings;
    return (
      hedgeAfterMs !== undefined &&
      this.request.repeatable !== false &&
      !this.hasDelivered &&
      this.history.attempts < maxAttempts
    );
  }

  /** Starts a second attempt if there is no token after `hedgeAfterMs` and the budget allows. */
  private async hedge(raceEnded: AbortSignal): Promise<HedgeResult> {
    const { budget, choose, clock } = this.options;
    const notStarted: HedgeResult = { kind: 'hedged', second: undefined };
    await clock.sleep(this.settings.hedgeAfterMs ?? 0, raceEnded);
    if (raceEnded.aborted || this.winner !== undefined || !budget.withdraw(clock.now()))
      return notStarted;
    const chosen = await this.stop.choose(
      choose,
      this.history.tried,
      { cause: 'hedge', last: undefined },
      clock,
      raceEnded,
    );
    if (chosen.isOk() && !raceEnded.aborted && this.winner === undefined && !this.stop.reason) {
      return { kind: 'hedged', second: this.start(chosen.value, 'hedge') };
    }
    if (chosen.isOk()) chosen.value.lease.release('neutral', clock.now());
    budget.refund(clock.now());
    return notStarted;
  }

  private recordEnd(attempt: StreamAttempt, end: AttemptEnd, cause: AttemptCause): void {
    this.live.delete(attempt);
    if (end.kind === 'refused') this.history.recordFailure(attempt.sent, end.failure);
    const { endpoint, lease } = attempt.target;
    lease.release(this.targetResult(attempt, end, cause), this.options.clock.now());
    this.options.observer?.({
      kind: 'ended',
      attempt: attempt.number,
      endpoint: endpoint.id,
      cause,
      result: end.kind,
      message: 'failure' in end ? describeFailure(end.failure) : undefined,
    });
  }

  /** Health signal that the end of an attempt gives about its endpoint. */
  private targetResult(attempt: StreamAttempt, end: AttemptEnd, cause: AttemptCause): TargetResult {
    if (end.kind === 'complete') return 'succeeded';
    if (end.kind === 'refused') return resultOfRefusal(end.failure);
    if (end.kind !== 'cancelled') return 'failed';
    // No token before the deadline, or before the hedge delivered one: the endpoint is overloaded.
    const lostToOther = cause !== 'hedge' && this.winner !== undefined && this.winner !== attempt;
    const slow = attempt.delivered === 0 && (lostToOther || this.stop.reason?.peer === 'self');
    return slow ? 'overloaded' : 'neutral';
  }

  /** Whether this run delivered tokens beyond those in `request.resume`. */
  private get hasDelivered(): boolean {
    return this.tokens.length > (this.request.resume?.length ?? 0);
  }

  private cancelLive(except?: StreamAttempt): void {
    [...this.live].filter((one) => one !== except).forEach((one) => one.cancel());
  }

  private conclude(reason: Reason): Outcome<GeneratedAnswer> {
    return this.history.conclude(reason, this.settings.defaultRetryAfterMs);
  }
}

/**
 * Generates an answer. Retries on other replicas, and resumes a broken or stalled stream at its
 * offset, while the deadline, the maximum number of attempts and the retry budget allow.
 */
export const generate = (request: GenerateRequest, options: RunnerOptions): GenerationRun => {
  const runner = new GenerationRunner(request, options);
  const outcome = runner.run();
  return {
    deltas: runner.buffer,
    outcome,
    softwareVersion: () => runner.softwareVersion,
    cancel: () => runner.stop.trigger('caller', 'cancelled by the caller'),
  };
};
