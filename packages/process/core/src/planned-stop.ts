import type { AnswerTimes } from './answer-times';

/** How long the phases of a planned stop take, in ms from the signal to stop. */
export interface StopDurations {
  /** Time after which kept connections without a request are closed. */
  readonly keepIdleMs: number;
  /** Time for which new requests are taken; by then load balancers have noticed the stop. */
  readonly acceptMs: number;
  /** Time after which requests that are still open are cut. */
  readonly finishMs: number;
}

/** What decides how long a request may take. */
export interface ExpectedWork {
  readonly service: string;
  /** Most tokens of the answer; 0 if the request states none. */
  readonly tokens: number;
  /** Time at which the request ends in any case. */
  readonly deadline: number;
}

/**
 * A planned stop of the process. New requests are taken for a while, because load balancers notice the stop
 * with a delay; a request whose answer is expected to outlast the stop is refused instead, so that its
 * client goes to another process at once.
 */
export class PlannedStop {
  private begun: { readonly signalledAfter: number; readonly handledAt: number } | undefined;

  private constructor(
    private readonly durations: StopDurations,
    private readonly times: AnswerTimes,
  ) {}

  static create(durations: StopDurations, times: AnswerTimes): PlannedStop {
    return new PlannedStop(durations, times);
  }

  /**
   * Begins the stop. The signal is handled at `now` and was sent later than `signalledAfter`: the limit
   * on new requests counts from there, since others count it from the time of the signal.
   */
  begin(signalledAfter: number, now: number): void {
    this.begun ??= { signalledAfter, handledAt: now };
  }

  get isStopping(): boolean {
    return this.begun !== undefined;
  }

  /** Time from which kept connections without a request are closed; Infinity before the stop. */
  get closesIdleFrom(): number {
    return (this.begun?.handledAt ?? Infinity) + this.durations.keepIdleMs;
  }

  /** Time up to which new requests are taken; Infinity before the stop. */
  get acceptsUntil(): number {
    const limit = (this.begun?.signalledAfter ?? Infinity) + this.durations.acceptMs;
    return Math.min(limit, this.endsAt);
  }

  /** Time at which requests that are still open are cut; Infinity before the stop. */
  get endsAt(): number {
    return (this.begun?.handledAt ?? Infinity) + this.durations.finishMs;
  }

  /** Whether a new request may begin now. */
  takes(work: ExpectedWork, now: number): boolean {
    return now < this.acceptsUntil && this.fits(work, now);
  }

  /** Whether the answer to a request that is sent to an endpoint now is expected before the stop ends. */
  fits({ service, tokens, deadline }: ExpectedWork, now: number): boolean {
    if (this.begun === undefined) return true;
    const endsAt = Math.min(deadline, now + this.times.expectedMs(service, tokens));
    return endsAt <= this.endsAt;
  }
}
