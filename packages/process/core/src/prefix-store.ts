import type { Result } from 'neverthrow';
import type { Failure } from './failure';
import type { Entry, Store } from './store';

/** Entries below a prefix as they were at a revision of the store, or shortly after it. */
export interface Listing {
  readonly entries: readonly Entry[];
  /** Changes after this revision are missing from the entries, or may be. */
  readonly revision: number;
}

/** One change below a prefix. */
export type Change =
  | { readonly kind: 'put'; readonly entry: Entry }
  | { readonly kind: 'removed'; readonly key: string; readonly revision: number };

/** What a wait for changes ended with. */
export type ChangesResult =
  | { readonly kind: 'changes'; readonly changes: readonly Change[]; readonly revision: number }
  /** The store no longer knows all changes after the given revision: list again. */
  | { readonly kind: 'compacted' };

/**
 * A key-value service with one revision counter for all keys, whose changes can be followed by
 * prefix. Failures are those of `Store`.
 */
export interface PrefixStore extends Pick<
  Store,
  'compareAndSwap' | 'grantLease' | 'renewLease' | 'revokeLease'
> {
  /** All entries below the prefix; reads as many pages as there are. */
  listing(prefix: string): Promise<Result<Listing, Failure>>;
  /** Waits for changes after `revision`, at most `waitMs`; may end without any. */
  changes(
    prefix: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<ChangesResult, Failure>>;
}
