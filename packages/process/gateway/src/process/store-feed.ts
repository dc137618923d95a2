import type { Clock, Random, Telemetry } from '@currantdrift/core';
import { type FeedMessage, PeerMessageKind } from '../connection/peer-messages';
import type { FreshnessLimits } from '../version/freshness';
import type { Member, Members } from '../version/members';
import { StoreCalls } from './store-calls';
import type { Batch, Feed, PeerListing, AgedListing } from './feed';
import type { PrefixFollower } from './prefix-follower';

/**
 * Longest delay between calls to a store that does not respond, in ms. Members behind relays retry less
 * often, because the relays tell them when it responds again.
 */
const relayRetryMs = 800;
const memberRetryMs = 1_600;

/** Age sent in messages for a prefix that was never read, in ms. */
const unknownAgeMs = 1e9;

/** Revision up to which a prefix was read, and revision up to which it was sent to others. */
interface Progress {
  readonly sentRevision: number;
  readonly read: number;
}

/** Time for which a new member tries to get entries from others, and random addition, in ms. */
const snapshotWaitMs = 2_000;
const snapshotJitterMs = 2_000;

/** Delay before members that do not have the entries yet are asked again, in ms. */
const snapshotRetryMs = 150;

export interface StoreFeedOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly self: Member;
  readonly members: Members;
  readonly limits: FreshnessLimits;
  readonly send: (address: string, message: FeedMessage) => void;
  /** Requests the entries below a prefix from another member; undefined if it has no current ones. */
  readonly requestEntries: (address: string, prefix: string) => Promise<AgedListing | undefined>;
}

/**
 * Distributes store changes: two watchers read the store on behalf of the whole fleet, and two relays in
 * each failure domain forward what they read. A member without recent batches for a prefix reads the
 * store itself.
 */
export class StoreFeed implements Feed {
  readonly calls = StoreCalls.create();

  private readonly followers = new Map<string, PrefixFollower>();

  private readonly progress = new Map<string, Progress>();

  private respondedAt = -Infinity;

  private failedAt = -Infinity;

  private wasFeedCurrent = false;

  private constructor(private readonly options: StoreFeedOptions) {}

  static create(options: StoreFeedOptions): StoreFeed {
    return new StoreFeed(options);
  }

  /** Registers the follower of a prefix, which then receives batches from other members. */
  attach(prefix: string, follower: PrefixFollower): void {
    this.followers.set(prefix, follower);
  }

  /** Whether this process reads the store on behalf of others. */
  isWatcher(): boolean {
    const { members, self } = this.options;
    return members.watchers.some(({ host }) => host === self.host);
  }

  /** Whether this process forwards batches to the members of its failure domain. */
  isRelay(): boolean {
    const { members, self } = this.options;
    return members.relaysOf(self.domain).some(({ host }) => host === self.host);
  }

  /** Relays turn to the store earlier than the members behind them, which then need not. */
  maxFeedAgeMs(): number {
    const { limits } = this.options;
    if (this.isWatcher()) return 0;
    return this.isRelay() ? limits.relayMaxAgeMs : limits.memberMaxAgeMs;
  }

  /** Whether the feed of other members is current for all prefixes. */
  isFeedCurrent(now: number): boolean {
    return [...this.followers.values()].every((follower) => follower.isFeedCurrent(now));
  }

  storeResponded(sentAt: number): void {
    this.respondedAt = Math.max(this.respondedAt, sentAt);
  }

  failed(now: number): void {
    this.failedAt = now;
  }

  /**
   * Limits the load when all daemons retry during a store outage: a process calls the store for only one
   * of its prefixes at a time until the store responds.
   */
  mayCallStore(now: number): boolean {
    return this.respondedAt > this.failedAt || now - this.failedAt >= this.maxRetryDelayMs() / 2;
  }

  maxRetryDelayMs(): number {
    return this.isWatcher() || this.isRelay() ? relayRetryMs : memberRetryMs;
  }

  passOn({ prefix, after, revision, changes }: Batch): void {
    const before = this.progress.get(prefix);
    // If this batch does not continue the last one, the changes between them are not known.
    const sentRevision = before?.read === after ? before.sentRevision : after;
    if (changes.length === 0) {
      this.progress.set(prefix, { sentRevision, read: revision });
      return;
    }
    this.progress.set(prefix, { sentRevision: revision, read: revision });
    this.sendBatches([{ prefix, after: sentRevision, revision, changes }]);
  }

  /**
   * Requests all entries below a prefix from another member. When all daemons start at the same time, a
   * large configuration would otherwise cross the link to the store once per daemon.
   */
  async snapshot(prefix: string): Promise<PeerListing | undefined> {
    const { clock, random, requestEntries } = this.options;
    const endsAt = clock.now() + snapshotWaitMs + random.next() * snapshotJitterMs;
    while (clock.now() < endsAt && !this.isWatcher()) {
      for (const { address, host } of this.sources()) {
        const requestedAt = clock.now();
        const listing = await requestEntries(address, prefix);
        if (listing !== undefined) return { ...listing, host, requestedAt };
      }
      await clock.sleep(snapshotRetryMs);
    }
    return undefined;
  }

  /** The entries below a prefix for another member; undefined if they may be out of date. */
  entriesFor(prefix: string): AgedListing | undefined {
    const { clock, limits } = this.options;
    const ageMs = this.ageOf(prefix, clock.now());
    const mayTell = this.isWatcher() || this.isRelay();
    const isCurrent = ageMs < limits.memberMaxAgeMs;
    const listing = mayTell && isCurrent ? this.followers.get(prefix)?.snapshot() : undefined;
    return listing && { ...listing, ageMs };
  }

  /** Age of this process's entries below a prefix, in ms. */
  ageOf(prefix: string, now: number): number {
    return Math.min(unknownAgeMs, this.followers.get(prefix)?.ageMs(now) ?? unknownAgeMs);
  }

  /** Applies batches from another member. */
  receive({ host, batches }: FeedMessage): void {
    batches.forEach((batch) => this.followers.get(batch.prefix)?.receive(batch, host));
  }

  /** Sends heartbeats to the members that rely on this process, which confirm their revision. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, limits } = this.options;
    while (!signal.aborted) {
      this.sendBatches(this.heartbeatBatches());
      this.logFeedState(clock.now());
      this.followers.forEach((follower) => follower.reportAge(clock.now()));
      await clock.sleep(limits.heartbeatMs, signal);
    }
  }

  /** Empty batches that state the revision up to which this process has read. */
  private heartbeatBatches(): Batch[] {
    return [...this.progress].map(([prefix, { sentRevision, read }]) => {
      this.progress.set(prefix, { sentRevision: read, read });
      return { prefix, after: sentRevision, revision: read, changes: [] };
    });
  }

  /** Members from which this process gets batches and snapshots. */
  private sources(): readonly Member[] {
    const { members, self } = this.options;
    const found = this.isRelay() ? members.watchers : members.relaysOf(self.domain);
    return found.filter(({ host }) => host !== self.host);
  }

  /** Members to which this process sends batches. */
  private targets(): readonly Member[] {
    const { members, self, clock } = this.options;
    const relays = new Set(members.relays.map(({ host }) => host));
    const all = members.recipients(self.host, clock.now());
    // The relays of a failure domain get batches from the watchers, not from each other.
    const domainMembers = this.isRelay() ? all.filter(({ domain }) => domain === self.domain) : [];
    const nonRelays = domainMembers.filter(({ host }) => !relays.has(host));
    // A failure domain has no relays if all its members have lost their keys.
    const withoutRelays = all.filter(({ domain }) => members.relaysOf(domain).length === 0);
    // Watchers send to each other, because the store may refuse one of them.
    const watcherTargets = this.isWatcher()
      ? [...members.watchers, ...members.relays, ...withoutRelays]
      : [];
    return [...new Set([...watcherTargets, ...nonRelays])].filter(({ host }) => host !== self.host);
  }

  private sendBatches(batches: readonly Batch[]): void {
    if (!this.isWatcher() && !this.isRelay()) return;
    const { clock, self, send } = this.options;
    const targets = this.targets();
    if (targets.length === 0) return;
    const now = clock.now();
    const message: FeedMessage = {
      kind: PeerMessageKind.feed,
      host: self.host,
      batches: batches.map((batch) => ({
        ...batch,
        changes: [...batch.changes],
        ageMs: this.ageOf(batch.prefix, now),
      })),
    };
    targets.forEach(({ address }) => send(address, message));
  }

  /** Logs when the feed of other members becomes too old, and when it is current again. */
  private logFeedState(now: number): void {
    const isCurrent = this.isFeedCurrent(now);
    if (isCurrent === this.wasFeedCurrent || this.isWatcher()) return;
    this.wasFeedCurrent = isCurrent;
    const outcome = isCurrent ? 'dependency.regained' : 'dependency.lost';
    const ages = [...this.followers]
      .map(([prefix, follower]) => `${prefix} ${Math.round(follower.ageMs(now))} ms`)
      .join(', ');
    this.options.telemetry.log(outcome, { dependency: 'watchers', ages });
  }
}
