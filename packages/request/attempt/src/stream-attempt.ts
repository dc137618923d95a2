import {
  type Clock,
  type Failure,
  FailureKind,
  type GenerationRequest,
  type StreamPart,
} from '@currantdrift/core';
import type { Result } from 'neverthrow';
import type { Target } from './chooser';
import type { SentAttempt } from './outcome';
import { checkPart, type PartChecks } from './part-check';

/** How an attempt ended. */
export type AttemptEnd =
  | { readonly kind: 'complete'; readonly finishReason: 'stop' | 'length' }
  /** The endpoint refused the request before running it. */
  | { readonly kind: 'refused'; readonly failure: Failure }
  | { readonly kind: 'broken' | 'stalled'; readonly failure: Failure }
  | { readonly kind: 'cancelled' };

export interface StreamLimits {
  /** Maximum time to the first token, and maximum time between tokens after it, in ms. */
  readonly firstTokenTimeoutMs: number;
  readonly progressTimeoutMs: number;
  readonly checks: PartChecks;
}

/** Receives the tokens of the attempts of one request. */
export interface TokenSink {
  /** Takes tokens; returns false if the tokens of another attempt are being delivered. */
  accept(attempt: StreamAttempt, tokens: readonly string[]): boolean;
  /** Resolves when the sink can take more tokens; undefined if it can now. */
  whenWritable(): Promise<void> | undefined;
  onDropped(reason: string): void;
}

/** One generation attempt: reads the endpoint's stream until its end, a failure or a timeout. */
export class StreamAttempt {
  private readonly controller = new AbortController();

  private readonly startedAt: number;

  private lastProgressAt: number;

  private held = false;

  private offset: number;

  private accepted = 0;

  /** Whether a part of this attempt was received, which proves that the endpoint ran it. */
  private hasReceivedPart = false;

  private resolveEnded: (end: AttemptEnd) => void = () => {};

  private hasEnded = false;

  /** Resolves when the attempt has ended. */
  readonly ended: Promise<AttemptEnd>;

  private constructor(
    readonly target: Target,
    private readonly generation: GenerationRequest,
    readonly sent: SentAttempt,
    private readonly sink: TokenSink,
    private readonly clock: Clock,
    private readonly limits: StreamLimits,
  ) {
    this.startedAt = clock.now();
    this.lastProgressAt = this.startedAt;
    this.offset = generation.resume.length;
    this.ended = new Promise((resolve) => {
      this.resolveEnded = resolve;
    });
  }

  static start(
    target: Target,
    generation: GenerationRequest,
    sent: SentAttempt,
    sink: TokenSink,
    clock: Clock,
    limits: StreamLimits,
  ): StreamAttempt {
    const attempt = new StreamAttempt(target, generation, sent, sink, clock, limits);
    attempt.read().catch((error: unknown) => {
      attempt.fail('broken', FailureKind.unknown, String(error));
    });
    attempt.watch().catch(() => {});
    return attempt;
  }

  get number(): number {
    return this.generation.attempt;
  }

  /** Number of tokens that this attempt delivered. */
  get delivered(): number {
    return this.accepted;
  }

  /** Cancels the attempt because its answer is no longer needed. */
  cancel(): void {
    this.end({ kind: 'cancelled' });
  }

  private async read(): Promise<void> {
    const { endpoint } = this.target;
    const opened = await endpoint.generate(this.generation, this.controller.signal);
    if (this.hasEnded) return;
    if (opened.isErr()) {
      const failure = opened.error;
      this.end({
        kind: this.sent.outcomeOf(failure).kind === 'notRun' ? 'refused' : 'broken',
        failure,
      });
      return;
    }
    const parts = opened.value[Symbol.asyncIterator]();
    for (;;) {
      const next = await parts.next();
      if (this.hasEnded) break;
      if (next.done) {
        this.fail('broken', FailureKind.unknown, 'the stream ended without its end marker');
        break;
      }
      if (!this.handlePart(next.value)) break;
      const writable = this.sink.whenWritable();
      if (writable !== undefined) await this.waitUntilWritable(writable);
      if (this.hasEnded) break;
    }
    // Lets the adapter close its connection. Not awaited: a stalled stream may never settle.
    parts.return?.().catch(() => {});
  }

  /** Handles one part; returns false if it ended the attempt. */
  private handlePart(received: Result<StreamPart, Failure>): boolean {
    if (received.isErr()) {
      const failure = received.error;
      // Only a refusal before the first part proves that nothing ran.
      const refused = failure.kind === FailureKind.refused && !this.hasReceivedPart;
      this.end({ kind: refused ? 'refused' : 'broken', failure });
      return false;
    }
    const { requestId, attempt } = this.generation;
    const { checks } = this.limits;
    const action = checkPart(received.value, requestId, attempt, this.offset, checks);
    if (action.kind !== 'drop' || action.reason === 'duplicate') this.hasReceivedPart = true;
    switch (action.kind) {
      case 'deliver':
        return this.deliver(action.tokens);
      case 'complete':
        this.end(action);
        return false;
      case 'drop':
        this.sink.onDropped(action.reason);
        return true;
      default:
        this.fail('broken', FailureKind.invalid, action.message);
        return false;
    }
  }

  private deliver(tokens: readonly string[]): boolean {
    if (tokens.length === 0) return true;
    const now = this.clock.now();
    this.lastProgressAt = now;
    if (this.accepted === 0) this.target.lease.observe(now - this.startedAt, now);
    if (!this.sink.accept(this, tokens)) {
      this.cancel();
      return false;
    }
    this.offset += tokens.length;
    this.accepted += tokens.length;
    return true;
  }

  private async waitUntilWritable(writable: Promise<void>): Promise<void> {
    this.held = true;
    await writable;
    this.held = false;
    this.lastProgressAt = this.clock.now();
  }

  /** Fails the attempt if no token arrives in time. Time spent waiting for the sink is excluded. */
  private async watch(): Promise<void> {
    while (!this.hasEnded) {
      const { firstTokenTimeoutMs, progressTimeoutMs } = this.limits;
      const limitMs = this.accepted === 0 ? firstTokenTimeoutMs : progressTimeoutMs;
      const now = this.clock.now();
      if (this.held) this.lastProgressAt = now;
      const left = this.lastProgressAt + limitMs - now;
      if (left <= 0) this.fail('stalled', FailureKind.unknown, `no token for ${limitMs} ms`);
      else await this.clock.sleep(Math.min(left, progressTimeoutMs), this.controller.signal);
    }
  }

  private fail(kind: 'broken' | 'stalled', failure: FailureKind, message: string): void {
    const peer = this.target.endpoint.id;
    this.end({ kind, failure: { kind: failure, step: 'attempt.generate', peer, message } });
  }

  private end(end: AttemptEnd): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.controller.abort();
    const { endpoint } = this.target;
    if (end.kind !== 'complete' && end.kind !== 'refused') {
      endpoint.cancel(this.generation.requestId, this.generation.attempt).catch(() => {});
    }
    this.resolveEnded(end);
  }
}
