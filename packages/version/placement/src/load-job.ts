import type { Clock, WakeRefusal } from '@currantdrift/core';
import { err, type Result } from 'neverthrow';

type Answer = Result<string, WakeRefusal>;

interface Waiter {
  readonly deadline: number;
  readonly resolve: (answer: Answer) => void;
}

/** Retry time, in ms, for a refusal when the load has no estimate or its estimate has passed. */
const unknownLoadMs = 1_000;

/** A load in progress and the requests that wait for it. */
export class LoadJob {
  private waiters: Waiter[] = [];

  private requested = false;

  private readyAt: number | undefined;

  private answer: Answer | undefined;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): LoadJob {
    return new LoadJob(clock);
  }

  /** Latest deadline of the waiting requests; `Infinity` if there are none. */
  get latestDeadline(): number {
    const deadlines = this.waiters.map(({ deadline }) => deadline);
    return deadlines.length === 0 ? Infinity : Math.max(...deadlines);
  }

  /** True if a request has ever joined, even if it no longer waits. */
  get isRequested(): boolean {
    return this.requested;
  }

  /** Earliest deadline of the waiting requests; `Infinity` if there are none. */
  get earliestDeadline(): number {
    return Math.min(...this.waiters.map(({ deadline }) => deadline));
  }

  isWanted(now: number): boolean {
    return this.waiters.some(({ deadline }) => deadline > now);
  }

  /** Resolves with the load's result, or with a refusal once it cannot be ready by `deadline`. */
  join(deadline: number): Promise<Answer> {
    this.requested = true;
    if (this.answer !== undefined) return Promise.resolve(this.answer);
    const now = this.clock.now();
    if (deadline <= now || (this.readyAt !== undefined && this.readyAt > deadline)) {
      return Promise.resolve(this.tooLate(now));
    }
    return new Promise((resolve) => {
      const waiter = { deadline, resolve };
      this.waiters.push(waiter);
      if (deadline === Infinity) return;
      this.clock
        .sleep(deadline - now)
        .then(() => this.refuse((candidate) => candidate === waiter))
        .catch(() => {});
    });
  }

  /** Sets the expected ready time and refuses the requests with an earlier deadline. */
  setExpectedReadyAt(readyAt: number): void {
    this.readyAt = readyAt;
    this.refuse(({ deadline }) => deadline < readyAt);
  }

  finish(answer: Answer): void {
    this.answer ??= answer;
    const { waiters } = this;
    this.waiters = [];
    waiters.forEach(({ resolve }) => resolve(answer));
  }

  private refuse(isLate: (waiter: Waiter) => boolean): void {
    const late = this.waiters.filter(isLate);
    this.waiters = this.waiters.filter((waiter) => !late.includes(waiter));
    const now = this.clock.now();
    late.forEach(({ resolve }) => resolve(this.tooLate(now)));
  }

  private tooLate(now: number): Answer {
    const left = (this.readyAt ?? 0) - now;
    return err({
      kind: 'too_late',
      message: 'the item cannot be loaded before the deadline',
      retryAfterMs: left > 0 ? Math.ceil(left) : unknownLoadMs,
    });
  }
}
