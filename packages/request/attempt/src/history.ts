import type { Failure } from '@currantdrift/core';
import {
  type NotRun,
  type Reason,
  type SentAttempt,
  type Unknown,
  unknown,
  UnsentAttempt,
} from './outcome';

/**
 * Tracks the attempts of one request. The outcome is `notRun` only if provably no attempt ran.
 */
export class AttemptHistory {
  private readonly endpoints: string[] = [];

  private readonly mayHaveRun = new Set<SentAttempt>();

  private count = 0;

  private retryAfterMs: number | undefined;

  private constructor(private readonly requestId: string) {}

  static create(requestId: string): AttemptHistory {
    return new AttemptHistory(requestId);
  }

  /** Ids of the endpoints that were tried, in order. */
  get tried(): readonly string[] {
    return this.endpoints;
  }

  get attempts(): number {
    return this.count;
  }

  /** Dispatches the next attempt. It counts as possibly run until its failure proves otherwise. */
  dispatch(endpoint: string): SentAttempt {
    this.count += 1;
    this.endpoints.push(endpoint);
    const sent = UnsentAttempt.create(this.requestId, this.count).dispatch();
    if (sent === undefined) throw new Error('a new attempt was already dispatched');
    this.mayHaveRun.add(sent);
    return sent;
  }

  /** Records the failure of a dispatched attempt. Returns true if it provably did not run. */
  recordFailure(sent: SentAttempt, failure: Failure): boolean {
    if (failure.retryAfterMs !== undefined) {
      this.retryAfterMs = Math.min(this.retryAfterMs ?? Infinity, failure.retryAfterMs);
    }
    if (sent.outcomeOf(failure).kind !== 'notRun') return false;
    this.mayHaveRun.delete(sent);
    return true;
  }

  /** Returns the outcome of a request that ends without an answer for `reason`. */
  conclude(reason: Reason, defaultRetryAfterMs: number): NotRun | Unknown {
    const retryAfterMs = reason.retryAfterMs ?? this.retryAfterMs ?? defaultRetryAfterMs;
    const withRetryAfter = { ...reason, retryAfterMs };
    if (this.mayHaveRun.size > 0) return unknown(withRetryAfter);
    return UnsentAttempt.create(this.requestId, this.count + 1).abandon(withRetryAfter);
  }
}
