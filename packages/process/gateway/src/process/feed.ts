import type { Change, Entry, Listing } from '@currantdrift/core';
import type { StoreCalls } from './store-calls';

/** Receives the entries and changes that a follower reads. */
export interface EntryListener {
  /** Called with all entries below the prefix. */
  onListing(entries: readonly Entry[]): void;
  onChange(change: Change): void;
}

/** Changes below a prefix after the revision `after`, up to and including `revision`. */
export interface Batch {
  readonly prefix: string;
  readonly after: number;
  readonly revision: number;
  readonly changes: readonly Change[];
}

/** A batch from another member, with its age. */
export interface AgedBatch extends Batch {
  /** Time since the store last confirmed that nothing newer exists, in ms. */
  readonly ageMs: number;
}

/** A listing from another member, with its age. */
export interface AgedListing extends Listing {
  /** As in `AgedBatch`. */
  readonly ageMs: number;
}

/** Exchanges store entries with other members, so that not every process reads the store. */
export interface Feed {
  /** Age up to which the feed counts as current; 0 if this process reads the store itself. */
  maxFeedAgeMs(): number;
  /** Records that the store responded to a call sent at `sentAt`, or that a call failed at `now`. */
  storeResponded(sentAt: number): void;
  failed(now: number): void;
  /** The calls of this process to the store, for all prefixes. */
  readonly calls: StoreCalls;
  /** Whether to call the store again after recent failures. */
  mayCallStore(now: number): boolean;
  /** Longest delay between calls to the store while they fail, in ms. */
  maxRetryDelayMs(): number;
  /** Forwards a batch to the members that rely on this process. */
  passOn(batch: Batch): void;
  /** All entries from another member; undefined if they must be read from the store. */
  snapshot(prefix: string): Promise<PeerListing | undefined>;
}

/** A listing from another member, with its origin and the time of the request. */
export interface PeerListing extends AgedListing {
  readonly host: string;
  /** Time at which the listing was requested, in ms. */
  readonly requestedAt: number;
}
