import type { Failure } from '@currantdrift/core';
import { type NotRun, type Reason, type Sent, type Unknown, unknown, Unsent } from './outcome';

/**
 * The attempts of one request. Its outcome is `notRun` only if every attempt was provably not run.
 */
export class History {
  private readonly names: string[] = [];

  private readonly mayHaveRun = new Set<Sent>();

  private count = 0;

  private retryAfterMs: number | undefined;

  private constructor(private readonly requestId: string) {}

  static create(requestId: string): History {
    return new History(requestId);
  }

  /** Endpoints that were tried, in order. */
  get tried(): readonly string[] {
    return this.names;
  }

  get attempts(): number {
    return this.count;
  }

  /** Dispatches the next attempt; from now on it counts as possibly run. */
  dispatch(endpoint: string): Sent {
    this.count += 1;
    this.names.push(endpoint);
    const sent = Unsent.create(this.requestId, this.count).dispatch();
    if (sent === undefined) throw new Error('a new attempt was already dispatched');
    this.mayHaveRun.add(sent);
    return sent;
  }

  /** Takes the failure of a dispatched attempt; tells whether it provably did not run. */
  fail(sent: Sent, failure: Failure): boolean {
    if (failure.retryAfterMs !== undefined) {
      this.retryAfterMs = Math.min(this.retryAfterMs ?? Infinity, failure.retryAfterMs);
    }
    if (sent.fail(failure).kind !== 'notRun') return false;
    this.mayHaveRun.delete(sent);
    return true;
  }

  /** The outcome of a request that ends without an answer, for this reason. */
  conclude(reason: Reason, defaultRetryAfterMs: number): NotRun | Unknown {
    const retryAfterMs = reason.retryAfterMs ?? this.retryAfterMs ?? defaultRetryAfterMs;
    const full = { ...reason, retryAfterMs };
    if (this.mayHaveRun.size > 0) return unknown(full);
    return Unsent.create(this.requestId, this.count + 1).giveUp(full);
  }
}
