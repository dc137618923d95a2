import { type Clock, describeFailure, type Generation } from '@currantdrift/core';
import type { AttemptEvent, Cause, AttemptContext, Chooser, Target, TargetResult } from './chooser';
import { History } from './history';
import { judgeRefusal } from './judge';
import { answered, type Outcome, type Reason, reasonOf } from './outcome';
import type { RetryBudget } from './retry-budget';
import { type AttemptSettings, defaultAttemptSettings } from './settings';
import { Stop } from './stop';
import { type AttemptEnd, type Sink, StreamAttempt } from './stream-attempt';
import { TokenBuffer } from './token-buffer';

/** A request for a generated answer. */
export interface GenerateRequest extends Omit<Generation, 'attempt' | 'resume'> {
  /** In ms since the epoch. */
  readonly deadline: number;
  /**
   * False if the request must not run twice, even in part: it is then retried only after a
   * refusal, and never hedged. Default true.
   */
  readonly repeatable?: boolean;
  /** Tokens that were delivered before this run; the answer goes on after them. */
  readonly resume?: readonly string[];
}

/** What the runners need from the daemon. */
export interface RunnerOptions {
  readonly choose: Chooser;
  readonly clock: Clock;
  /** Shared by all requests of the daemon. */
  readonly budget: RetryBudget;
  readonly settings?: Partial<AttemptSettings>;
  /**
   * Aborted when the caller has gone. Left out for a service call that must run at most once: to
   * abort it would leave its outcome unknown.
   */
  readonly signal?: AbortSignal;
  readonly observer?: (event: AttemptEvent) => void;
  /** Called for each part that was dropped: `other_request`, `other_attempt` or `duplicate`. */
  readonly onDropped?: (why: string) => void;
}

/** An answer that was delivered whole. */
export interface GeneratedAnswer {
  /** All tokens, with those that the caller had before. */
  readonly tokens: readonly string[];
  readonly finishReason: 'stop' | 'length';
  readonly attempts: number;
}

/** A generation in progress. */
export interface GenerationRun {
  /**
   * Tokens in order, in groups as they arrived together; for one reader. A reader that leaves
   * early cancels the request.
   */
  readonly deltas: AsyncIterable<readonly string[]>;
  /**
   * Settles when the request has ended. `unknown` and `notRun` carry a retry time; what was
   * delivered before is then a prefix of an answer.
   */
  readonly outcome: Promise<Outcome<GeneratedAnswer>>;
  /** Ends the request because its answer is no longer wanted. */
  cancel(): void;
}

interface Running {
  readonly attempt: StreamAttempt;
  readonly finished: Promise<{
    readonly kind: 'finished';
    readonly attempt: StreamAttempt;
    readonly end: AttemptEnd;
  }>;
}

interface Hedged {
  readonly kind: 'hedged';
  readonly second: Running | undefined;
}

class Runner implements Sink {
  readonly buffer: TokenBuffer;

  readonly stop: Stop;

  private readonly history: History;

  private readonly settings: AttemptSettings;

  private readonly tokens: string[];

  private readonly live = new Set<StreamAttempt>();

  /** The attempt whose tokens are delivered. */
  private preferred: StreamAttempt | undefined;

  constructor(
    private readonly request: GenerateRequest,
    private readonly options: RunnerOptions,
  ) {
    this.settings = { ...defaultAttemptSettings, ...options.settings };
    this.history = History.create(request.requestId);
    this.tokens = [...(request.resume ?? [])];
    this.stop = Stop.start('generate', options.clock, request.deadline, options.signal);
    this.buffer = TokenBuffer.create(this.settings.maxBufferedTokens, () =>
      this.stop.now('caller', 'the caller has stopped reading'),
    );
    this.stop.onEnd(() => this.cancelLive());
  }

  async run(): Promise<Outcome<GeneratedAnswer>> {
    // Only a fault of the daemon's own code throws here; its request is not left without an end.
    const outcome = await this.attempts().catch((error: unknown) =>
      this.conclude({ step: 'generate', peer: 'self', message: String(error) }),
    );
    this.stop.end();
    this.buffer.end();
    return outcome;
  }

  accept(attempt: StreamAttempt, tokens: readonly string[]): boolean {
    if (this.preferred === undefined) {
      this.preferred = attempt;
      this.cancelLive(attempt);
    }
    if (this.preferred !== attempt) return false;
    this.tokens.push(...tokens);
    this.buffer.push(tokens);
    return true;
  }

  room(): Promise<void> | undefined {
    return this.buffer.isFull ? this.buffer.room() : undefined;
  }

  dropped(why: string): void {
    this.options.onDropped?.(why);
  }

  private async attempts(): Promise<Outcome<GeneratedAnswer>> {
    const { budget, choose, clock } = this.options;
    let choice: AttemptContext = { cause: 'first', last: undefined };
    for (;;) {
      const chosen = await this.stop.choose(choose, this.history.tried, choice, clock);
      if (chosen.isErr()) return this.conclude(chosen.error);
      if (this.stop.reason !== undefined) {
        chosen.value.lease.release('neutral', clock.now());
        return this.conclude(this.stop.reason);
      }
      const end = await this.race(this.start(chosen.value, choice.cause));
      if (end.kind === 'complete') {
        budget.deposit(clock.now());
        const { tokens, history } = this;
        return answered({ tokens, finishReason: end.finishReason, attempts: history.attempts });
      }
      const reason = this.mayRetry(end);
      if (reason !== undefined) return this.conclude(reason);
      const last = end.kind === 'cancelled' ? undefined : end.kind;
      choice = { cause: this.hasDelivered ? 'resume' : 'retry', last };
    }
  }

  /** Takes a retry from the budget; gives the reason if there is none to take. */
  private mayRetry(end: Exclude<AttemptEnd, { kind: 'complete' }>): Reason | undefined {
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

  /** Starts an attempt; what it gives settles after the attempt has ended and is accounted for. */
  private start(target: Target, cause: Cause): Running {
    const { clock } = this.options;
    const sent = this.history.dispatch(target.endpoint.id);
    const { deadline, repeatable, ...generation } = this.request;
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
      this.account(attempt, end, cause);
      return { kind: 'finished', attempt, end } as const;
    });
    return { attempt, finished };
  }

  /** Runs an attempt, with a second one beside it when its first token is late. */
  private async race(first: Running): Promise<AttemptEnd> {
    this.preferred = undefined;
    const over = new AbortController();
    const running = new Map([[first.attempt, first.finished]]);
    let hedge = this.mayHedge() ? [this.hedge(over.signal)] : [];
    let last: AttemptEnd = { kind: 'cancelled' };
    while (running.size > 0 && last.kind !== 'complete') {
      const news = await Promise.race([...running.values(), ...hedge]);
      if (news.kind === 'hedged') {
        hedge = [];
        if (news.second) running.set(news.second.attempt, news.second.finished);
      } else {
        running.delete(news.attempt);
        if (news.end.kind !== 'cancelled') last = news.end;
      }
    }
    over.abort();
    this.cancelLive();
    return last;
  }

  private mayHedge(): boolean {
    const { hedgeAfterMs, maxAttempts } = this.settings;
    return (
      hedgeAfterMs !== undefined &&
      this.request.repeatable !== false &&
      !this.hasDelivered &&
      this.history.attempts < maxAttempts
    );
  }

  /** Waits for the first token; starts a second attempt when it is late. */
  private async hedge(over: AbortSignal): Promise<Hedged> {
    const { budget, choose, clock } = this.options;
    const none: Hedged = { kind: 'hedged', second: undefined };
    await clock.sleep(this.settings.hedgeAfterMs ?? 0, over);
    if (over.aborted || this.preferred !== undefined || !budget.withdraw(clock.now())) return none;
    const chosen = await this.stop.choose(
      choose,
      this.history.tried,
      { cause: 'hedge', last: undefined },
      clock,
      over,
    );
    if (chosen.isOk() && !over.aborted && this.preferred === undefined && !this.stop.reason) {
      return { kind: 'hedged', second: this.start(chosen.value, 'hedge') };
    }
    if (chosen.isOk()) chosen.value.lease.release('neutral', clock.now());
    budget.refund(clock.now());
    return none;
  }

  private account(attempt: StreamAttempt, end: AttemptEnd, cause: Cause): void {
    this.live.delete(attempt);
    if (end.kind === 'refused') this.history.fail(attempt.sent, end.failure);
    const { endpoint, lease: place } = attempt.target;
    place.release(this.judge(attempt, end, cause), this.options.clock.now());
    this.options.observer?.({
      kind: 'ended',
      attempt: attempt.number,
      endpoint: endpoint.id,
      cause,
      result: end.kind,
      message: 'failure' in end ? describeFailure(end.failure) : undefined,
    });
  }

  /** What the end of an attempt says about its endpoint. */
  private judge(attempt: StreamAttempt, end: AttemptEnd, cause: Cause): TargetResult {
    if (end.kind === 'complete') return 'succeeded';
    if (end.kind === 'refused') return judgeRefusal(end.failure);
    if (end.kind !== 'cancelled') return 'failed';
    // No first token before the deadline, or before the hedge gave one: too slow for its load.
    const outrun = cause !== 'hedge' && this.preferred !== undefined && this.preferred !== attempt;
    const slow = attempt.delivered === 0 && (outrun || this.stop.reason?.peer === 'self');
    return slow ? 'overloaded' : 'neutral';
  }

  /** Tokens went out beyond those that the caller had before. */
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
 * Generates an answer: retries on other replicas and resumes a cut or silent stream at its offset
 * while the deadline, the number of attempts and the retry budget allow.
 */
export const generate = (request: GenerateRequest, options: RunnerOptions): GenerationRun => {
  const runner = new Runner(request, options);
  const outcome = runner.run();
  return {
    deltas: runner.buffer,
    outcome,
    cancel: () => runner.stop.now('caller', 'cancelled by the caller'),
  };
};
