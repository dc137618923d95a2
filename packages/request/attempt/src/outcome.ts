/* eslint-disable max-classes-per-file -- only the classes of this file may construct a NotRun */
import { type Failure, hadNoEffect } from '@currantdrift/core';

/** Why a request got no answer, and the step and peer at which it failed. */
export interface Reason {
  readonly step: string;
  readonly peer: string;
  readonly message: string;
  /** Time after which a retry by the caller may succeed, in ms. */
  readonly retryAfterMs?: number;
}

export const reasonOf = ({ step, peer, message, retryAfterMs }: Failure): Reason => ({
  step,
  peer,
  message,
  ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
});

/** The complete answer was received. */
export interface Answered<T> {
  readonly kind: 'answered';
  readonly answer: T;
}

/** The request may have run, completely or in part. */
export interface Unknown {
  readonly kind: 'unknown';
  readonly reason: Reason;
}

let buildNotRun: (reason: Reason) => NotRun;

/**
 * Proof that nothing ran: nothing was drafted, booked or charged. Can only be constructed from an
 * attempt that was never sent or from an endpoint's own refusal.
 */
export class NotRun {
  static {
    buildNotRun = (reason) => new NotRun(reason);
  }

  readonly kind = 'notRun';

  /** Makes the type nominal, so that no object literal is assignable to it. */
  readonly #built = true;

  private constructor(readonly reason: Reason) {}

  /** Whether `value` was constructed in this process; a copy received over the network was not. */
  static is(value: unknown): value is NotRun {
    return typeof value === 'object' && value !== null && #built in value && value.#built;
  }

  /** Returns undefined if the call may have run in spite of the failure. */
  static fromRefusal(failure: Failure): NotRun | undefined {
    return hadNoEffect(failure) ? buildNotRun(reasonOf(failure)) : undefined;
  }
}

/** How a request, or one attempt of it, ended. */
export type Outcome<T> = Answered<T> | NotRun | Unknown;

export const answered = <T>(answer: T): Answered<T> => ({ kind: 'answered', answer });

export const unknown = (reason: Reason): Unknown => ({ kind: 'unknown', reason });

/** A dispatched attempt. Only the endpoint's reply tells whether it ran. */
export class SentAttempt {
  private constructor(
    readonly requestId: string,
    readonly attempt: number,
  ) {}

  /** Dispatches an attempt; returns undefined if it was dispatched or abandoned before. */
  static dispatch(unsent: UnsentAttempt): SentAttempt | undefined {
    return unsent.consume() ? new SentAttempt(unsent.requestId, unsent.attempt) : undefined;
  }

  /** Returns the outcome of the attempt after `failure`. */
  outcomeOf(failure: Failure): NotRun | Unknown {
    return NotRun.fromRefusal(failure) ?? unknown(reasonOf(failure));
  }
}

/** An attempt of which no byte was sent. Dispatching or abandoning the attempt consumes it. */
export class UnsentAttempt {
  private consumed = false;

  private constructor(
    readonly requestId: string,
    readonly attempt: number,
  ) {}

  static create(requestId: string, attempt = 1): UnsentAttempt {
    return new UnsentAttempt(requestId, attempt);
  }

  /** Consumes the attempt; returns false if it was consumed before. */
  consume(): boolean {
    const wasUnused = !this.consumed;
    this.consumed = true;
    return wasUnused;
  }

  /** Dispatches the attempt; returns undefined if it was consumed before. */
  dispatch(): SentAttempt | undefined {
    return SentAttempt.dispatch(this);
  }

  /** Ends the attempt without sending it. The outcome is `unknown` if it was consumed before. */
  abandon(reason: Reason): NotRun | Unknown {
    return this.consume() ? buildNotRun(reason) : unknown(reason);
  }
}
