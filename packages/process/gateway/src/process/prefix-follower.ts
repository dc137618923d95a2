import {
  type Change,
  type Clock,
  describeFailure,
  type Entry,
  eraOf,
  type Failure,
  type Listing,
  type PrefixStore,
  type Random,
  type Telemetry,
} from '@currantdrift/core';
import type { Result } from 'neverthrow';
import type { FreshnessLimits } from '../version/freshness';
import type { AgedBatch, EntryListener, Feed } from './feed';

export interface FollowerOptions {
  readonly store: PrefixStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly prefix: string;
  readonly listener: EntryListener;
  /** Pause between waits for changes, which limits the calls while entries change often, in ms. */
  readonly pauseMs: number;
  readonly feed: Feed;
  /** Whether all entries are requested from other members first, and then from the store. */
  readonly startsFromFeed: boolean;
  readonly limits: FreshnessLimits;
  /** Called after a store outage, with the time at which it responded again to any member. */
  readonly onStoreRecovery?: (now: number) => void;
  /**
   * Called when the store has come back from a copy, before the entries change; `revision` is the first
   * one known of the new era.
   */
  readonly onStoreRestored?: (revision: number, now: number) => void;
}

/** Shortest wait for changes, for which the store responds at once, in ms. */
const minWaitMs = 1;

/** Base delay of the backoff after a failed call, in ms. */
const minRetryMs = 100;

/** Longest interval between checks for missing batches, in ms. */
const maxGapCheckMs = 500;

/** Source that is logged for entries read from the store itself. */
const storeSource = 'store';

/** Upper bound of the reported age, which also stands for entries that were never read, in s. */
const maxAgeSeconds = 3_600;

const revisionOf = (change: Change): number =>
  change.kind === 'put' ? change.entry.revision : change.revision;

/** Follows the entries below a prefix, through the store or through other members' feeds. */
export class PrefixFollower {
  /** Revision up to which all changes are applied. */
  private revision = 0;

  /** Whether `entries` holds a complete listing at that revision. */
  private isListed = false;

  private readonly entries = new Map<string, Entry>();

  private wasFeedCurrent = false;

  /** Highest revision that batches from other members build on; lower changes may be missing. */
  private requiredRevision = 0;

  private failures = 0;

  /** Time up to which all changes are known, as confirmed by the store. */
  private currentAsOf = -Infinity;

  /** The same time, according to the feed of other members only. */
  private feedCurrentAsOf = -Infinity;

  /** Origin of the last confirmation: the store or a member's host. */
  private source = '';

  private isStale = false;

  private constructor(private readonly options: FollowerOptions) {}

  static create(options: FollowerOptions): PrefixFollower {
    return new PrefixFollower(options);
  }

  /** All entries known to this follower; undefined before the first listing. */
  snapshot(): Listing | undefined {
    const { revision, entries } = this;
    return this.isListed ? { revision, entries: [...entries.values()] } : undefined;
  }

  /** Whether changes are missing that other members already have. */
  private get hasGap(): boolean {
    return this.requiredRevision > this.revision;
  }

  /** Age of the entries, in ms; Infinity before the first listing. */
  ageMs(now: number): number {
    return now - this.currentAsOf;
  }

  /** Whether the feed of other members is current, so that the store need not be read. */
  isFeedCurrent(now: number): boolean {
    return now - this.feedCurrentAsOf < this.options.feed.maxFeedAgeMs();
  }

  /** Reports the age of the entries as a metric; logs when they become stale or current again. */
  reportAge(now: number): void {
    const { telemetry, prefix, limits } = this.options;
    const ageMs = this.ageMs(now);
    const seconds = Math.min(maxAgeSeconds, ageMs / 1000);
    telemetry.gauge('currantdrift_prefix_age_seconds', seconds, { prefix });
    telemetry.gauge('currantdrift_prefix_revision', this.revision, { prefix });
    const isStale = this.isListed && ageMs > limits.propagationLimitMs;
    if (isStale === this.isStale) return;
    this.isStale = isStale;
    telemetry.log(isStale ? 'prefix.stale' : 'prefix.current', {
      prefix,
      revision: this.revision,
      ageMs: Math.round(ageMs),
      source: this.source,
      hasGap: this.hasGap,
      failures: this.failures,
    });
  }

  /** Follows until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) await clock.sleep(await this.step(signal), signal);
  }

  /** Applies a batch from the member on `host`. */
  receive({ after, revision, changes, ageMs }: AgedBatch, host: string): void {
    // A member that has not heard of a restore of the store vouches for entries of the era before.
    if (!this.isListed || eraOf(revision) < eraOf(this.revision)) return;
    if (after > this.revision) {
      this.requiredRevision = Math.max(this.requiredRevision, after);
      // No changes lead from one era to the next, so the entries are listed.
      if (eraOf(after) > eraOf(this.revision)) this.isListed = false;
      return;
    }
    this.recordFeed(this.options.clock.now() - ageMs, host);
    const before = this.revision;
    if (revision <= before) return;
    const newer = this.applyChanges(changes, revision);
    this.options.feed.passOn({
      prefix: this.options.prefix,
      after: before,
      revision,
      changes: newer,
    });
  }

  /** Reads the store unless the feed is current; returns the delay until the next step, in ms. */
  private async step(signal: AbortSignal): Promise<number> {
    const { clock, feed, pauseMs, random, limits } = this.options;
    const now = clock.now();
    const feedValidForMs = feed.maxFeedAgeMs() - (now - this.feedCurrentAsOf);
    if (this.isListed && !this.hasGap && feedValidForMs > 0) {
      this.wasFeedCurrent = true;
      this.resetFailures();
      return Math.min(maxGapCheckMs, feedValidForMs);
    }
    if (this.wasFeedCurrent && !this.hasGap) {
      this.wasFeedCurrent = false;
      return random.next() * limits.jitterMs;
    }
    if (this.failures > 0 && !feed.mayCallStore(now)) return this.retryDelayMs();
    const ok = this.isListed ? await this.wait(signal) : await this.list();
    return ok ? pauseMs : this.retryDelayMs();
  }

  private async list(): Promise<boolean> {
    const { store, prefix, feed, startsFromFeed, clock } = this.options;
    const known = startsFromFeed ? await feed.snapshot(prefix) : undefined;
    // A lagging watcher must not revert this follower to older entries.
    const minRevision = Math.max(this.revision, this.requiredRevision);
    if (known !== undefined && known.revision >= minRevision) {
      this.recordFeed(known.requestedAt - known.ageMs, known.host);
      this.applyListing(known);
      return true;
    }
    const sentAt = clock.now();
    const listing = await this.track(sentAt, store.listing(prefix));
    if (listing.isErr()) return this.failed(describeFailure(listing.error));
    const { revision } = listing.value;
    if (revision < this.revision) {
      return this.failed(`the listing has revision ${revision}, older than ${this.revision}`);
    }
    this.recordStoreResponse(sentAt);
    this.applyListing(listing.value);
    return true;
  }

  private applyListing({ entries, revision }: Listing): void {
    const before = this.revision;
    const changes = this.diff(entries, revision);
    this.noteEra(revision);
    this.revision = revision;
    this.isListed = true;
    this.entries.clear();
    entries.forEach((entry) => this.entries.set(entry.key, entry));
    this.options.listener.onListing(entries);
    // Members that have the same earlier entries get the differences and need not read the listing.
    const { prefix, feed } = this.options;
    feed.passOn({
      prefix,
      after: before > 0 ? before : revision,
      revision,
      changes: before > 0 ? changes : [],
    });
  }

  /** Changes that turn the current entries into those of a listing. */
  private diff(entries: readonly Entry[], revision: number): readonly Change[] {
    const listed = new Set(entries.map(({ key }) => key));
    const removed = [...this.entries.keys()].filter((key) => !listed.has(key));
    return [
      ...removed.map((key): Change => ({ kind: 'removed', key, revision })),
      ...entries
        .filter((entry) => entry.revision > this.revision)
        .map((entry): Change => ({ kind: 'put', entry })),
    ];
  }

  private async wait(signal: AbortSignal): Promise<boolean> {
    const { store, prefix, feed, clock } = this.options;
    const sentAt = clock.now();
    const maxWaitMs = this.maxWaitMs(sentAt);
    const changes = store.changes(prefix, this.revision, maxWaitMs, signal);
    const result = await this.track(sentAt + maxWaitMs, changes);
    if (signal.aborted) return true;
    if (result.isErr()) return this.failed(describeFailure(result.error));
    if (result.value.kind === 'compacted') {
      feed.storeResponded(sentAt);
      this.resetFailures();
      const { minRevision } = result.value;
      this.requiredRevision = Math.max(this.requiredRevision, minRevision);
      this.options.telemetry.log('store.compacted', {
        prefix,
        revision: this.revision,
        minRevision,
      });
      this.isListed = false;
      return this.list();
    }
    const { changes: received, revision } = result.value;
    // The store waited for the full time without a change, so the entries are current until then.
    const hasWaited = received.length === 0 && clock.now() - sentAt >= maxWaitMs;
    this.recordStoreResponse(hasWaited ? sentAt + maxWaitMs : sentAt);
    const before = this.revision;
    const newer = this.applyChanges(received, revision);
    feed.passOn({ prefix, after: before, revision: this.revision, changes: newer });
    return true;
  }

  /** Awaits a call to the store whose answer is due at `dueAt`. */
  private async track<T>(
    dueAt: number,
    call: Promise<Result<T, Failure>>,
  ): Promise<Result<T, Failure>> {
    const { feed, clock } = this.options;
    const begun = feed.calls.begin(dueAt);
    const result = await call;
    feed.calls.end(begun, result.isErr(), clock.now());
    return result;
  }

  /** Limits a wait so that it ends before the entries are too old: nothing is received during a wait. */
  private maxWaitMs(now: number): number {
    // After a failure a short wait shows whether the store responds at all.
    if (this.failures > 0 || this.hasGap) return minWaitMs;
    return Math.max(minWaitMs, Math.round(this.options.limits.watcherMaxAgeMs - this.ageMs(now)));
  }

  /** Applies and returns the changes newer than `revision`: batches and responses may overlap. */
  private applyChanges(changes: readonly Change[], revision: number): readonly Change[] {
    const known = this.revision;
    this.noteEra(revision);
    const newer = changes.filter((change) => revisionOf(change) > known);
    this.revision = Math.max(known, revision);
    newer.forEach((change) => {
      if (change.kind === 'put') this.entries.set(change.entry.key, change.entry);
      else this.entries.delete(change.key);
      this.options.listener.onChange(change);
    });
    return newer;
  }

  /** Tells that the store has come back from a copy if `revision` is the first of a new era. */
  private noteEra(revision: number): void {
    const era = eraOf(revision);
    if (this.revision === 0 || era <= eraOf(this.revision)) return;
    const { telemetry, prefix, clock, onStoreRestored } = this.options;
    telemetry.log('store.restored', { prefix, era, before: this.revision, revision });
    onStoreRestored?.(revision, clock.now());
  }

  /** Records a response of the store that contains all changes up to `at`. */
  private recordStoreResponse(at: number): void {
    this.options.feed.storeResponded(at);
    this.recordCurrent(at, storeSource);
    this.resetFailures();
  }

  private recordFeed(at: number, host: string): void {
    this.feedCurrentAsOf = Math.max(this.feedCurrentAsOf, at);
    this.recordCurrent(at, host);
  }

  private recordCurrent(at: number, source: string): void {
    if (at <= this.currentAsOf) return;
    const { limits, feed, clock, onStoreRecovery } = this.options;
    const isFirst = this.currentAsOf === -Infinity;
    const hasGap = !isFirst && at - this.currentAsOf > limits.relayMaxAgeMs;
    // A gap without a failed call is one of the feed: the members that read the store have ended, say.
    if (hasGap && feed.calls.hasFailedSince(this.currentAsOf, clock.now())) onStoreRecovery?.(at);
    this.currentAsOf = at;
    this.source = source;
  }

  private resetFailures(): void {
    if (this.failures === 0) return;
    const { telemetry, prefix } = this.options;
    telemetry.log('dependency.regained', { dependency: 'store', prefix, failures: this.failures });
    this.failures = 0;
  }

  private failed(reason: string): false {
    const { telemetry, prefix, feed, clock } = this.options;
    this.failures += 1;
    feed.failed(clock.now());
    if (this.failures === 1) {
      telemetry.log('dependency.lost', { dependency: 'store', prefix, reason });
    }
    return false;
  }

  private retryDelayMs(): number {
    const { random, feed } = this.options;
    const maxDelayMs = Math.min(
      feed.maxRetryDelayMs(),
      minRetryMs * 2 ** Math.min(4, this.failures),
    );
    return maxDelayMs * (0.5 + random.next() / 2);
  }
}
