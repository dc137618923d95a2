import {
  type Clock,
  type Failure,
  FailureKind,
  type Generation,
  type StreamPart,
} from '@currantdrift/core';
import type { Result } from 'neverthrow';
import type { Target } from './chooser';
import type { Sent } from './outcome';
import { checkPart, type PartChecks } from './part-check';

/** How an attempt ended. */
export type AttemptEnd =
  | { readonly kind: 'complete'; readonly finishReason: 'stop' | 'length' }
  /** The endpoint refused before running. */
  | { readonly kind: 'refused'; readonly failure: Failure }
  | { readonly kind: 'broken' | 'stalled'; readonly failure: Failure }
  | { readonly kind: 'cancelled' };

export interface StreamLimits {
  /** Longest time to the first token, and between parts, in ms. */
  readonly firstTokenTimeoutMs: number;
  readonly progressTimeoutMs: number;
  readonly checks: PartChecks;
}

/** What the attempt needs from the request it belongs to. */
export interface Sink {
  /** Takes tokens; false if another attempt has been preferred. */
  accept(attempt: StreamAttempt, tokens: readonly string[]): boolean;
  /** Resolves when more may be delivered; undefined if that is now. */
  room(): Promise<void> | undefined;
  dropped(why: string): void;
}

/** One attempt to generate: reads the endpoint's stream until its end, a fault or a timeout. */
export class StreamAttempt {
  private readonly controller = new AbortController();

  private readonly startedAt: number;

  private progressAt: number;

  private held = false;

  private offset: number;

  private accepted = 0;

  /** A part of this attempt arrived, so that the endpoint has run it. */
  private heard = false;

  private settle: (end: AttemptEnd) => void = () => {};

  private over = false;

  /** Settles once, when the attempt has ended. */
  readonly ended: Promise<AttemptEnd>;

  private constructor(
    readonly target: Target,
    private readonly generation: Generation,
    readonly sent: Sent,
    private readonly sink: Sink,
    private readonly clock: Clock,
    private readonly limits: StreamLimits,
  ) {
    this.startedAt = clock.now();
    this.progressAt = this.startedAt;
    this.offset = generation.resume.length;
    this.ended = new Promise((resolve) => {
      this.settle = resolve;
    });
  }

  static start(
    target: Target,
    generation: Generation,
    sent: Sent,
    sink: Sink,
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

  /** Tokens that this attempt delivered. */
  get delivered(): number {
    return this.accepted;
  }

  /** Ends the attempt because its answer is no longer wanted. */
  cancel(): void {
    this.end({ kind: 'cancelled' });
  }

  private async read(): Promise<void> {
    const { endpoint } = this.target;
    const opened = await endpoint.generate(this.generation, this.controller.signal);
    if (this.over) return;
    if (opened.isErr()) {
      const failure = opened.error;
      this.end({ kind: this.sent.fail(failure).kind === 'notRun' ? 'refused' : 'broken', failure });
      return;
    }
    const parts = opened.value[Symbol.asyncIterator]();
    for (;;) {
      const next = await parts.next();
      if (this.over) break;
      if (next.done) {
        this.fail('broken', FailureKind.unknown, 'the stream ended without its end marker');
        break;
      }
      if (!this.take(next.value)) break;
      const room = this.sink.room();
      if (room !== undefined) await this.holdBack(room);
      if (this.over) break;
    }
    // Lets the adapter close its connection; a silent one may never answer.
    parts.return?.().catch(() => {});
  }

  /** Handles one part; false if it ended the attempt. */
  private take(received: Result<StreamPart, Failure>): boolean {
    if (received.isErr()) {
      const failure = received.error;
      // Only a refusal before the first part says that nothing ran.
      const refused = failure.kind === FailureKind.refused && !this.heard;
      this.end({ kind: refused ? 'refused' : 'broken', failure });
      return false;
    }
    const { requestId, attempt } = this.generation;
    const { checks } = this.limits;
    const verdict = checkPart(received.value, requestId, attempt, this.offset, checks);
    if (verdict.kind !== 'drop' || verdict.why === 'duplicate') this.heard = true;
    switch (verdict.kind) {
      case 'deliver':
        return this.deliver(verdict.tokens);
      case 'complete':
        this.end(verdict);
        return false;
      case 'drop':
        this.sink.dropped(verdict.why);
        return true;
      default:
        this.fail('broken', FailureKind.invalid, verdict.message);
        return false;
    }
  }

  private deliver(tokens: readonly string[]): boolean {
    if (tokens.length === 0) return true;
    const now = this.clock.now();
    this.progressAt = now;
    if (this.accepted === 0) this.target.lease.observe(now - this.startedAt, now);
    if (!this.sink.accept(this, tokens)) {
      this.cancel();
      return false;
    }
    this.offset += tokens.length;
    this.accepted += tokens.length;
    return true;
  }

  private async holdBack(room: Promise<void>): Promise<void> {
    this.held = true;
    await room;
    this.held = false;
    this.progressAt = this.clock.now();
  }

  /** Ends the attempt when no token arrives for too long; time spent held back does not count. */
  private async watch(): Promise<void> {
    while (!this.over) {
      const { firstTokenTimeoutMs, progressTimeoutMs } = this.limits;
      const limitMs = this.accepted === 0 ? firstTokenTimeoutMs : progressTimeoutMs;
      const now = this.clock.now();
      if (this.held) this.progressAt = now;
      const left = this.progressAt + limitMs - now;
      if (left <= 0) this.fail('stalled', FailureKind.unknown, `no token for ${limitMs} ms`);
      else await this.clock.sleep(Math.min(left, progressTimeoutMs), this.controller.signal);
    }
  }

  private fail(kind: 'broken' | 'stalled', failure: FailureKind, message: string): void {
    const peer = this.target.endpoint.id;
    this.end({ kind, failure: { kind: failure, step: 'attempt.generate', peer, message } });
  }

  private end(end: AttemptEnd): void {
    if (this.over) return;
    this.over = true;
    this.controller.abort();
    const { endpoint } = this.target;
    if (end.kind !== 'complete' && end.kind !== 'refused') {
      endpoint.cancel(this.generation.requestId, this.generation.attempt).catch(() => {});
    }
    this.settle(end);
  }
}
