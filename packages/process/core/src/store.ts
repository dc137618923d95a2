import type { Result } from 'neverthrow';
import type { Failure } from './failure';

/** A key with its value in the platform's store. */
export interface Entry {
  readonly key: string;
  readonly value: Uint8Array;
  /**
   * Changes with each write of the key, and when the store comes back from a copy; always above 0.
   * Combined with the store's era, see `eraOf`.
   */
  readonly revision: number;
}

/** Result of a compare-and-swap that the store processed. */
export type SwapResult =
  | { readonly kind: 'swapped'; readonly revision: number }
  /** The key had a different revision; `current` is its entry. */
  | { readonly kind: 'conflict'; readonly current: Entry | undefined };

export interface Lease {
  readonly id: string;
  readonly ttlMs: number;
}

/** Largest value that the store accepts, in bytes. */
export const maxValueBytes = 1_000_000;

/**
 * The platform's key-value service. It may come back from an older copy of itself, which loses what it has
 * acknowledged since; revisions and leases of before are valid no more. A call that fails with `unreachable` or `refused` had no
 * effect; one that fails with `unknown` or `invalid` may have taken effect.
 */
export interface Store {
  /** Reads the entry of `key`; undefined if the key does not exist. */
  get(key: string): Promise<Result<Entry | undefined, Failure>>;
  /** Lists the keys that start with `prefix`, in key order, without their values. */
  list(prefix: string): Promise<Result<readonly { key: string; revision: number }[], Failure>>;
  /**
   * Writes `value` if the key's revision is `revision` (0: the key does not exist);
   * an undefined value deletes the key. A key written under a lease is deleted when the lease ends.
   */
  compareAndSwap(
    key: string,
    revision: number,
    value: Uint8Array | undefined,
    leaseId?: string,
  ): Promise<Result<SwapResult, Failure>>;
  /** Waits until the revision of `key` differs from `revision`, for at most `waitMs`. */
  watch(
    key: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<Entry | undefined, Failure>>;
  grantLease(ttlMs: number): Promise<Result<Lease, Failure>>;
  /** Fails with `refused` once the lease has ended, as all do when the store comes back from a copy. */
  renewLease(leaseId: string): Promise<Result<Lease, Failure>>;
  revokeLease(leaseId: string): Promise<Result<void, Failure>>;
}
