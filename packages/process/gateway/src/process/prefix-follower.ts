import {
  type Change,
  type Clock,
  describeFailure,
  type Entry,
  type Listing,
  type PrefixStore,
  type Random,
  type Telemetry,
} from '@currantdrift/core';
import type { FreshnessLimits } from '../version/freshness';

/** Takes what a follower reads. */
export interface EntryListener {
  /** All entries below the prefix. */
  onListing(entries: readonly Entry[]): void;
  onChange(change: Change): void;
}

/** Changes below a prefix after one revision and up to another. */
export interface Batch {
  readonly prefix: string;
  readonly after: number;
  readonly revision: number;
  readonly changes: readonly Change[];
}

/** A batch as another member tells it. */
export interface AgedBatch extends Batch {
  /** Age of the store's last word that nothing newer exists, in ms. */
  readonly ageMs: number;
}

/** A listing as another member gives it. */
export interface AgedListing extends Listing {
  /** As in `ToldBatch`. */
  readonly ageMs: number;
}

/** What a follower may learn from other members, and what it tells them. */
export interface Feed {
  /** Age up to which what other members say counts; 0 if this process reads the store itself. */
  maxFeedAgeMs(): number;
  /** States that the store answered a call that was sent at `sentAt`, or that a call has failed. */
  storeResponded(sentAt: number): void;
  failed(now: number): void;
  /** Whether a call may tell more than the ones that failed lately. */
  mayCallStore(now: number): boolean;
  /** Longest pause between two calls while they fail, in ms. */
  maxRetryDelayMs(): number;
  /** Passes on what was read from the store. */
  passOn(batch: Batch): void;
  /** All entries as another member knows them; undefined if the store has to be asked. */
  snapshot(prefix: string): Promise<PeerListing | undefined>;
}

/** Entries that another member gave, and what they are worth. */
export interface PeerListing extends AgedListing {
  readonly host: string;
  /** When they were asked for. */
  readonly requestedAt: number;
}

export interface FollowerOptions {
  readonly store: PrefixStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly prefix: string;
  readonly listener: EntryListener;
  /** Pause between two waits, which bounds the calls while entries change often, in ms. */
  readonly pauseMs: number;
  readonly feed: Feed;
  /** Whether other members are asked for all entries before the store is. */
  readonly startsFromFeed: boolean;
  readonly limits: FreshnessLimits;
  /** Called with the time at which the store answers again, here or elsewhere, after it was away. */
  readonly onStoreRecovery?: (now: number) => void;
}

/** Shortest wait for changes: the store answers at once, in ms. */
const minWaitMs = 1;

/** Shortest pause after a failed call, in ms. */
const minRetryMs = 100;

/** Longest pause between two looks whether a batch is missing, in ms. */
const maxGapCheckMs = 500;

/** Name of the store among the sources of what is known. */
const storeSource = 'store';

/** Age that is shown for entries that were never read, in s. */
const maxAgeSeconds = 3_600;

const revisionOf = (change: Change): number =>
  change.kind === 'put' ? change.entry.revision : change.revision;

/** Follows the entries below a prefix of the store, or what other members read there. */
export class PrefixFollower {
  /** Revision up to which changes are known. */
  private revision = 0;

  /** Whether all entries are known at that revision. */
  private isListed = false;

  private readonly entries = new Map<string, Entry>();

  private wasFeedCurrent = false;

  /** Revision up to which changes exist that other members have told and this one may have missed. */
  private requiredRevision = 0;

  private failures = 0;

  /** Time up to which all changes are known, by the store's own word. */
  private currentAsOf = -Infinity;

  /** The same, as far as other members have said it. */
  private feedCurrentAsOf = -Infinity;

  /** Who said so last: the store or another member. */
  private source = '';

  private isStale = false;

  private constructor(private readonly options: FollowerOptions) {}

  static create(options: FollowerOptions): PrefixFollower {
    return new PrefixFollower(options);
  }

  /** All entries as this follower knows them; undefined until it has read them. */
  snapshot(): Listing | undefined {
    const { revision, entries } = this;
    return this.isListed ? { revision, entries: [...entries.values()] } : undefined;
  }

  /** Whether changes are missing that others have told of. */
  private get hasGap(): boolean {
    return this.requiredRevision > this.revision;
  }

  /** Age of what is known, in ms; Infinity before the first listing. */
  ageMs(now: number): number {
    return now - this.currentAsOf;
  }

  /** Whether other members say often enough what is new, so that the store need not be read. */
  isFeedCurrent(now: number): boolean {
    return now - this.feedCurrentAsOf < this.options.feed.maxFeedAgeMs();
  }

  /** Logs when the entries become stale and when they are current again, and states their age. */
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

  /** Takes what the member on `host` read. */
  receive({ after, revision, changes, ageMs }: AgedBatch, host: string): void {
    if (!this.isListed) return;
    if (after > this.revision) {
      this.requiredRevision = Math.max(this.requiredRevision, after);
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

  /** Asks the store unless other members do; gives the pause until the next step, in ms. */
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
    // A watcher that lags must not take back what this follower has known.
    if (known !== undefined && known.revision >= this.revision) {
      this.recordFeed(known.requestedAt - known.ageMs, known.host);
      this.applyListing(known);
      return true;
    }
    const sentAt = clock.now();
    const listing = await store.listing(prefix);
    if (listing.isErr()) return this.failed(describeFailure(listing.error));
    const { revision } = listing.value;
    if (revision < this.revision) {
      return this.failed(`the listing is of revision ${revision}, before ${this.revision}`);
    }
    this.recordStoreResponse(sentAt);
    this.applyListing(listing.value);
    return true;
  }

  private applyListing({ entries, revision }: Listing): void {
    const before = this.revision;
    const changes = this.diff(entries, revision);
    this.revision = revision;
    this.isListed = true;
    this.entries.clear();
    entries.forEach((entry) => this.entries.set(entry.key, entry));
    this.options.listener.onListing(entries);
    // Others that know what was known here need not read the whole listing as well.
    const { prefix, feed } = this.options;
    feed.passOn({
      prefix,
      after: before > 0 ? before : revision,
      revision,
      changes: before > 0 ? changes : [],
    });
  }

  /** Changes that lead from the entries known so far to a listing. */
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
    const result = await store.changes(prefix, this.revision, maxWaitMs, signal);
    if (signal.aborted) return true;
    if (result.isErr()) return this.failed(describeFailure(result.error));
    if (result.value.kind === 'compacted') {
      feed.storeResponded(sentAt);
      this.resetFailures();
      this.options.telemetry.log('store.compacted', { prefix, revision: this.revision });
      this.isListed = false;
      return this.list();
    }
    const { changes, revision } = result.value;
    // The store has waited to the end, so nothing had changed until then.
    const hasWaited = changes.length === 0 && clock.now() - sentAt >= maxWaitMs;
    this.recordStoreResponse(hasWaited ? sentAt + maxWaitMs : sentAt);
    const before = this.revision;
    const newer = this.applyChanges(changes, revision);
    feed.passOn({ prefix, after: before, revision: this.revision, changes: newer });
    return true;
  }

  /** A wait must end before what is known is too old, because nothing is heard meanwhile. */
  private maxWaitMs(now: number): number {
    // After a failure a short wait tells whether the store answers at all.
    if (this.failures > 0 || this.hasGap) return minWaitMs;
    return Math.max(minWaitMs, Math.round(this.options.limits.watcherMaxAgeMs - this.ageMs(now)));
  }

  /** Takes and gives the changes that are newer than what is known: a batch and an answer may overlap. */
  private applyChanges(changes: readonly Change[], revision: number): readonly Change[] {
    const known = this.revision;
    const newer = changes.filter((change) => revisionOf(change) > known);
    this.revision = Math.max(known, revision);
    newer.forEach((change) => {
      if (change.kind === 'put') this.entries.set(change.entry.key, change.entry);
      else this.entries.delete(change.key);
      this.options.listener.onChange(change);
    });
    return newer;
  }

  /** Takes an answer of the store that told all changes up to `at`. */
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
    const { limits, onStoreRecovery } = this.options;
    const isFirst = this.currentAsOf === -Infinity;
    // Nobody has heard from the store for longer than messages may take, so it was away.
    if (!isFirst && at - this.currentAsOf > limits.relayMaxAgeMs) onStoreRecovery?.(at);
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
