import type { Result } from 'neverthrow';
import type { Failure } from './failure';
import type { Entry, Store } from './store';

/** Entries with a common key prefix, read at a store revision or shortly after it. */
export interface Listing {
  readonly entries: readonly Entry[];
  /** Revision up to which the entries include all changes; later changes may be missing. */
  readonly revision: number;
}

/** A change to one entry. */
export type Change =
  | { readonly kind: 'put'; readonly entry: Entry }
  | { readonly kind: 'removed'; readonly key: string; readonly revision: number };

/** Result of waiting for changes. */
export type ChangesResult =
  | { readonly kind: 'changes'; readonly changes: readonly Change[]; readonly revision: number }
  /**
   * The store has compacted changes after the given revision, or does not have that revision; the caller
   * must list again. Listings below `minRevision` are of an era before the store came back from a copy.
   */
  | { readonly kind: 'compacted'; readonly minRevision: number };

/**
 * A key-value service with one revision counter for all keys, and with watches on key prefixes.
 * It fails in the same ways as `Store`. If the store comes back from a copy, its revisions go on above all
 * earlier ones (`revisionInEra`), and leases granted before have ended.
 */
export interface PrefixStore extends Pick<
  Store,
  'compareAndSwap' | 'grantLease' | 'renewLease' | 'revokeLease'
> {
  /** Lists all entries with the prefix; reads all pages. */
  listing(prefix: string): Promise<Result<Listing, Failure>>;
  /** Waits up to `waitMs` for changes after `revision`; may return none. */
  changes(
    prefix: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<ChangesResult, Failure>>;
}
