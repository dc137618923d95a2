import type { Result } from 'neverthrow';
import type { Failure } from './failure';

/** A value of the platform's store. */
export interface Entry {
  readonly key: string;
  readonly value: Uint8Array;
  /** Changes with each write of the key; always above 0. */
  readonly revision: number;
}

/** Result of a compare-and-swap that took place. */
export type SwapResult =
  | { readonly kind: 'swapped'; readonly revision: number }
  /** The key had another revision; `current` is what it holds. */
  | { readonly kind: 'conflict'; readonly current: Entry | undefined };

export interface Lease {
  readonly id: string;
  readonly ttlMs: number;
}

/** Largest value that the store takes, in bytes. */
export const maxValueBytes = 1_000_000;

/**
 * The platform's key-value service. A failure of kind `unreachable` or `refused` had no effect;
 * after `unknown` or `invalid` the call may have taken effect.
 */
export interface Store {
  /** The value of `key`, or undefined if there is none. */
  get(key: string): Promise<Result<Entry | undefined, Failure>>;
  /** Entries whose keys start with `prefix`, ordered by key, without their values. */
  list(prefix: string): Promise<Result<readonly { key: string; revision: number }[], Failure>>;
  /**
   * Writes `value` if the key's revision is `revision` (0: the key does not exist);
   * an undefined value deletes the key. A key written under a lease goes when the lease ends.
   */
  compareAndSwap(
    key: string,
    revision: number,
    value: Uint8Array | undefined,
    leaseId?: string,
  ): Promise<Result<SwapResult, Failure>>;
  /** Waits until the revision of `key` differs from `revision`, or `waitMs` have passed. */
  watch(
    key: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<Entry | undefined, Failure>>;
  grantLease(ttlMs: number): Promise<Result<Lease, Failure>>;
  /** Refused once the lease has ended. */
  renewLease(leaseId: string): Promise<Result<Lease, Failure>>;
  revokeLease(leaseId: string): Promise<Result<void, Failure>>;
}
