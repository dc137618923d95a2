import type { Result } from 'neverthrow';
import type { AdmissionRefusal, AdmissionRequest } from './request';

/** Permission to run, with what the queue's `take` gave for it. */
export interface Grant<T> {
  readonly value: T;
  readonly waitedMs: number;
  /**
   * Ends the grant; to be called once the endpoint is free again. `served` says that a whole
   * answer was given. False, without effect, when the grant had ended before.
   */
  finish(served: boolean, now: number): boolean;
}

/** A place in the queue, held by the owner of the request. */
export interface Ticket<T> {
  /** Settles exactly once, with a grant or the reason for none. */
  readonly result: Promise<Result<Grant<T>, AdmissionRefusal>>;
  /** Leaves the queue. False, without effect, when the entry has been granted or refused. */
  cancel(now: number): boolean;
}

/** An entry while it waits. */
export interface Entry<T> {
  readonly request: AdmissionRequest;
  readonly enteredAt: number;
  /** Order of arrival; breaks ties. */
  readonly sequence: number;
  readonly settle: (result: Result<Grant<T>, AdmissionRefusal>) => void;
}
