import type { Clock, Random, Telemetry } from '@currantdrift/core';
import { type FeedMessage, PeerMessageKind } from '../connection/peer-messages';
import type { FreshnessLimits } from '../version/freshness';
import type { Member, Members } from '../version/members';
import type { Batch, Feed, PeerListing, PrefixFollower, AgedListing } from './prefix-follower';

/**
 * Longest pause between two calls to a store that does not answer, in ms. The members behind relays hear
 * from these when it answers again.
 */
const relayRetryMs = 800;
const memberRetryMs = 1_600;

/** Age in a message that stands for never, in ms. */
const unknownAgeMs = 1e9;

/** How far this process has read below a prefix, and up to where it has told the others. */
interface Progress {
  readonly sentRevision: number;
  readonly read: number;
}

/** Time for which a new member waits for the entries of another one, in ms, and a random addition. */
const snapshotWaitMs = 2_000;
const snapshotJitterMs = 2_000;

/** Pause before a member is asked again that does not have the entries yet, in ms. */
const snapshotRetryMs = 150;

export interface StoreFeedOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly self: Member;
  readonly members: Members;
  readonly limits: FreshnessLimits;
  readonly send: (address: string, message: FeedMessage) => void;
  /** Asks another member for its entries below a prefix; undefined if it has none to give. */
  readonly requestEntries: (address: string, prefix: string) => Promise<AgedListing | undefined>;
}

/**
 * Lets two members follow the store for the whole fleet, and two relays in each failure domain pass on
 * what these watchers read. A member that hears nothing recent of a prefix reads it from the store.
 */
export class StoreFeed implements Feed {
  private readonly followers = new Map<string, PrefixFollower>();

  private readonly progress = new Map<string, Progress>();

  private respondedAt = -Infinity;

  private failedAt = -Infinity;

  private wasFeedCurrent = false;

  private constructor(private readonly options: StoreFeedOptions) {}

  static create(options: StoreFeedOptions): StoreFeed {
    return new StoreFeed(options);
  }

  /** Adds the follower of a prefix, which then takes what others read. */
  attach(prefix: string, follower: PrefixFollower): void {
    this.followers.set(prefix, follower);
  }

  /** Whether this process follows the store for others. */
  isWatcher(): boolean {
    const { members, self } = this.options;
    return members.watchers.some(({ host }) => host === self.host);
  }

  /** Whether this process passes on what it hears to the members of its failure domain. */
  isRelay(): boolean {
    const { members, self } = this.options;
    return members.relaysOf(self.domain).some(({ host }) => host === self.host);
  }

  /** Relays ask the store first, so that the members behind them need not. */
  maxFeedAgeMs(): number {
    const { limits } = this.options;
    if (this.isWatcher()) return 0;
    return this.isRelay() ? limits.relayMaxAgeMs : limits.memberMaxAgeMs;
  }

  /** Whether other members say often enough what is new below all prefixes. */
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
   * Answers the load pattern "the store is away and all daemons look for it": of the prefixes that a
   * process follows only one is asked for at a time until the store answers.
   */
  mayCallStore(now: number): boolean {
    return this.respondedAt > this.failedAt || now - this.failedAt >= this.maxRetryDelayMs() / 2;
  }

  maxRetryDelayMs(): number {
    return this.isWatcher() || this.isRelay() ? relayRetryMs : memberRetryMs;
  }

  passOn({ prefix, after, revision, changes }: Batch): void {
    const before = this.progress.get(prefix);
    // After a new listing the changes since the last batch are not known.
    const sentRevision = before?.read === after ? before.sentRevision : after;
    if (changes.length === 0) {
      this.progress.set(prefix, { sentRevision, read: revision });
      return;
    }
    this.progress.set(prefix, { sentRevision: revision, read: revision });
    this.sendBatches([{ prefix, after: sentRevision, revision, changes }]);
  }

  /**
   * All entries below a prefix as another member knows them. Answers the load pattern "all daemons start
   * at once": a large configuration would cross the link to the store once for each.
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

  /** The entries below a prefix for a member that asks; undefined if they may be old. */
  entriesFor(prefix: string): AgedListing | undefined {
    const { clock, limits } = this.options;
    const ageMs = this.ageOf(prefix, clock.now());
    const mayTell = this.isWatcher() || this.isRelay();
    const isCurrent = ageMs < limits.memberMaxAgeMs;
    const listing = mayTell && isCurrent ? this.followers.get(prefix)?.snapshot() : undefined;
    return listing && { ...listing, ageMs };
  }

  /** Age of what this process knows below a prefix, in ms. */
  ageOf(prefix: string, now: number): number {
    return Math.min(unknownAgeMs, this.followers.get(prefix)?.ageMs(now) ?? unknownAgeMs);
  }

  /** Takes what another member read or heard. */
  receive({ host, batches }: FeedMessage): void {
    batches.forEach((batch) => this.followers.get(batch.prefix)?.receive(batch, host));
  }

  /** Tells those that rely on this process that nothing is missing. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, limits } = this.options;
    while (!signal.aborted) {
      this.sendBatches(this.heartbeatBatches());
      this.logFeedState(clock.now());
      this.followers.forEach((follower) => follower.reportAge(clock.now()));
      await clock.sleep(limits.heartbeatMs, signal);
    }
  }

  /** Batches that only say how far this process has read. */
  private heartbeatBatches(): Batch[] {
    return [...this.progress].map(([prefix, { sentRevision, read }]) => {
      this.progress.set(prefix, { sentRevision: read, read });
      return { prefix, after: sentRevision, revision: read, changes: [] };
    });
  }

  /** Members from which this one takes what they read. */
  private sources(): readonly Member[] {
    const { members, self } = this.options;
    const found = this.isRelay() ? members.watchers : members.relaysOf(self.domain);
    return found.filter(({ host }) => host !== self.host);
  }

  /** Members that take from this one what it read or heard. */
  private targets(): readonly Member[] {
    const { members, self, clock } = this.options;
    const relays = new Set(members.relays.map(({ host }) => host));
    const all = members.recipients(self.host, clock.now());
    // The relays of a failure domain hear from the watchers, not from each other.
    const domainMembers = this.isRelay() ? all.filter(({ domain }) => domain === self.domain) : [];
    const nonRelays = domainMembers.filter(({ host }) => !relays.has(host));
    // A failure domain whose members have all lost their keys has no relays.
    const withoutRelays = all.filter(({ domain }) => members.relaysOf(domain).length === 0);
    // A watcher that the store turns away hears from the other one.
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

  /** Logs when what others say is too old to rely on, and when it is current again. */
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
