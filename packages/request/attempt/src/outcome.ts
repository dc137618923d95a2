/* eslint-disable max-classes-per-file -- what may build a NotRun is closed within this file */
import { type Failure, hadNoEffect } from '@currantdrift/core';

/** Why a request got no answer, and where that was found. */
export interface Reason {
  readonly step: string;
  readonly peer: string;
  readonly message: string;
  /** Milliseconds after which the caller may try again with a chance of success. */
  readonly retryAfterMs?: number;
}

export const reasonOf = ({ step, peer, message, retryAfterMs }: Failure): Reason => ({
  step,
  peer,
  message,
  ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
});

/** The whole answer was received. */
export interface Answered<T> {
  readonly kind: 'answered';
  readonly answer: T;
}

/** Something may have run. */
export interface Unknown {
  readonly kind: 'unknown';
  readonly reason: Reason;
}

let buildNotRun: (reason: Reason) => NotRun;

/**
 * Nothing ran: nothing was drafted, booked or charged. It can only be built from an attempt that
 * was never sent or from an endpoint's own refusal.
 */
export class NotRun {
  static {
    buildNotRun = (reason) => new NotRun(reason);
  }

  readonly kind = 'notRun';

  /** Makes the type nominal: an object literal is not a NotRun. */
  readonly #built = true;

  private constructor(readonly reason: Reason) {}

  /** Tells whether `value` was built here; a copy that came over the network was not. */
  static is(value: unknown): value is NotRun {
    return typeof value === 'object' && value !== null && #built in value && value.#built;
  }

  /** From the refusal of an endpoint; undefined if the failure leaves open whether the call ran. */
  static fromRefusal(failure: Failure): NotRun | undefined {
    return hadNoEffect(failure) ? buildNotRun(reasonOf(failure)) : undefined;
  }
}

/** How a request, or one attempt of it, ended. */
export type Outcome<T> = Answered<T> | NotRun | Unknown;

export const answered = <T>(answer: T): Answered<T> => ({ kind: 'answered', answer });

export const unknown = (reason: Reason): Unknown => ({ kind: 'unknown', reason });

/** An attempt that was dispatched: whether it ran is known only from what comes back. */
export class Sent {
  private constructor(
    readonly requestId: string,
    readonly attempt: number,
  ) {}

  /** Dispatches an attempt; undefined if it was dispatched or given up before. */
  static dispatch(unsent: Unsent): Sent | undefined {
    return unsent.consume() ? new Sent(unsent.requestId, unsent.attempt) : undefined;
  }

  /** The outcome that a failure leaves. */
  fail(failure: Failure): NotRun | Unknown {
    return NotRun.fromRefusal(failure) ?? unknown(reasonOf(failure));
  }
}

/** An attempt of which no byte was sent. Dispatching or giving it up consumes it. */
export class Unsent {
  private consumed = false;

  private constructor(
    readonly requestId: string,
    readonly attempt: number,
  ) {}

  static create(requestId: string, attempt = 1): Unsent {
    return new Unsent(requestId, attempt);
  }

  /** Uses the attempt up; false if it was used up before. */
  consume(): boolean {
    const fresh = !this.consumed;
    this.consumed = true;
    return fresh;
  }

  /** Dispatches the attempt; undefined if it was used up before. */
  dispatch(): Sent | undefined {
    return Sent.dispatch(this);
  }

  /** Ends the attempt without sending it. `unknown` if it was used up before. */
  giveUp(reason: Reason): NotRun | Unknown {
    return this.consume() ? buildNotRun(reason) : unknown(reason);
  }
}
