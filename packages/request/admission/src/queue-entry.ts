import type { Result } from 'neverthrow';
import type { AdmissionRefusal, AdmissionRequest } from './request';

/** Permission to run, with the capacity that the queue acquired for it. */
export interface Grant<T> {
  readonly value: T;
  readonly waitedMs: number;
  /**
   * Ends the grant. Call it once the endpoint is free again; `served` states whether a complete
   * answer was given. Returns false and has no effect if the grant has already ended.
   */
  finish(served: boolean, now: number): boolean;
}

/** Handle of a queued request, held by its owner. */
export interface Ticket<T> {
  /** Settles exactly once, with a grant or the reason for a refusal. */
  readonly result: Promise<Result<Grant<T>, AdmissionRefusal>>;
  /** Leaves the queue. Returns false and has no effect if the entry was granted or refused. */
  cancel(now: number): boolean;
}

/** A waiting entry. */
export interface QueueEntry<T, R extends AdmissionRequest = AdmissionRequest> {
  readonly request: R;
  readonly enqueuedAt: number;
  /** Order of arrival, which breaks ties between equal deadlines. */
  readonly sequence: number;
  readonly settle: (result: Result<Grant<T>, AdmissionRefusal>) => void;
}
