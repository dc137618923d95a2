import type { Clock, Random, Telemetry } from '@currantdrift/core';
import { type FeedMessage, PeerKind } from '../connection/peer-messages';
import type { FreshnessLimits } from '../version/freshness';
import type { Member, Members } from '../version/members';
import type { Batch, Feed, GivenListing, PrefixFollower, ToldListing } from './prefix-follower';

/**
 * Longest pause between two calls to a store that does not answer, in ms. The members behind relays hear
 * from these when it answers again.
 */
const relayRetryMs = 800;
const memberRetryMs = 1_600;

/** Age in a message that stands for never, in ms. */
const maxAgeMs = 1e9;

/** How far this process has read below a prefix, and up to where it has told the others. */
interface Progress {
  readonly told: number;
  readonly read: number;
}

/** Time for which a new member waits for the entries of another one, in ms, and a random addition. */
const snapshotMs = 2_000;
const snapshotJitterMs = 2_000;

/** Pause before a member is asked again that does not have the entries yet, in ms. */
const snapshotPauseMs = 150;

export interface StoreFeedOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly self: Member;
  readonly members: Members;
  readonly limits: FreshnessLimits;
  readonly send: (address: string, message: FeedMessage) => void;
  /** Asks another member for its entries below a prefix; undefined if it has none to give. */
  readonly ask: (address: string, prefix: string) => Promise<ToldListing | undefined>;
}

/**
 * Lets two members follow the store for the whole fleet, and two relays in each failure domain pass on
 * what these watchers read. A member that hears nothing recent of a prefix reads it from the store.
 */
export class StoreFeed implements Feed {
  private readonly followers = new Map<string, PrefixFollower>();

  private readonly progress = new Map<string, Progress>();

  private confirmedAt = -Infinity;

  private failedAt = -Infinity;

  private wasFed = false;

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
  lifetimeMs(): number {
    const { limits } = this.options;
    if (this.isWatcher()) return 0;
    return this.isRelay() ? limits.relayMs : limits.memberMs;
  }

  /** Whether other members say often enough what is new below all prefixes. */
  isFed(now: number): boolean {
    return [...this.followers.values()].every((follower) => follower.isFed(now));
  }

  confirmed(sentAt: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, sentAt);
  }

  failed(now: number): void {
    this.failedAt = now;
  }

  /**
   * Answers the load pattern "the store is away and all daemons look for it": of the prefixes that a
   * process follows only one is asked for at a time until the store answers.
   */
  mayAsk(now: number): boolean {
    return this.confirmedAt > this.failedAt || now - this.failedAt >= this.retryLimitMs() / 2;
  }

  retryLimitMs(): number {
    return this.isWatcher() || this.isRelay() ? relayRetryMs : memberRetryMs;
  }

  passOn({ prefix, after, revision, changes }: Batch): void {
    const before = this.progress.get(prefix);
    // After a new listing the changes since the last batch are not known.
    const told = before?.read === after ? before.told : after;
    if (changes.length === 0) {
      this.progress.set(prefix, { told, read: revision });
      return;
    }
    this.progress.set(prefix, { told: revision, read: revision });
    this.tell([{ prefix, after: told, revision, changes }]);
  }

  /**
   * All entries below a prefix as another member knows them. Answers the load pattern "all daemons start
   * at once": a large configuration would cross the link to the store once for each.
   */
  async snapshot(prefix: string): Promise<GivenListing | undefined> {
    const { clock, random, ask } = this.options;
    const endsAt = clock.now() + snapshotMs + random.next() * snapshotJitterMs;
    while (clock.now() < endsAt && !this.isWatcher()) {
      for (const { address, host } of this.sources()) {
        const askedAt = clock.now();
        const listing = await ask(address, prefix);
        if (listing !== undefined) return { ...listing, host, askedAt };
      }
      await clock.sleep(snapshotPauseMs);
    }
    return undefined;
  }

  /** The entries below a prefix for a member that asks; undefined if they may be old. */
  entriesFor(prefix: string): ToldListing | undefined {
    const { clock, limits } = this.options;
    const ageMs = this.ageOf(prefix, clock.now());
    const mayTell = this.isWatcher() || this.isRelay();
    const isCurrent = ageMs < limits.memberMs;
    const listing = mayTell && isCurrent ? this.followers.get(prefix)?.snapshot() : undefined;
    return listing && { ...listing, ageMs };
  }

  /** Age of what this process knows below a prefix, in ms. */
  ageOf(prefix: string, now: number): number {
    return Math.min(maxAgeMs, this.followers.get(prefix)?.ageMs(now) ?? maxAgeMs);
  }

  /** Takes what another member read or heard. */
  heard({ host, batches }: FeedMessage): void {
    batches.forEach((batch) => this.followers.get(batch.prefix)?.receive(batch, host));
  }

  /** Tells those that rely on this process that nothing is missing. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, limits } = this.options;
    while (!signal.aborted) {
      this.tell(this.unchanged());
      this.noteState(clock.now());
      this.followers.forEach((follower) => follower.noteAge(clock.now()));
      await clock.sleep(limits.heartbeatMs, signal);
    }
  }

  /** Batches that only say how far this process has read. */
  private unchanged(): Batch[] {
    return [...this.progress].map(([prefix, { told, read }]) => {
      this.progress.set(prefix, { told: read, read });
      return { prefix, after: told, revision: read, changes: [] };
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
    const near = this.isRelay() ? all.filter(({ domain }) => domain === self.domain) : [];
    const behind = near.filter(({ host }) => !relays.has(host));
    // A failure domain whose members have all lost their keys has no relays.
    const alone = all.filter(({ domain }) => members.relaysOf(domain).length === 0);
    // A watcher that the store turns away hears from the other one.
    const direct = this.isWatcher() ? [...members.watchers, ...members.relays, ...alone] : [];
    return [...new Set([...direct, ...behind])].filter(({ host }) => host !== self.host);
  }

  private tell(batches: readonly Batch[]): void {
    if (!this.isWatcher() && !this.isRelay()) return;
    const { clock, self, send } = this.options;
    const targets = this.targets();
    if (targets.length === 0) return;
    const now = clock.now();
    const message: FeedMessage = {
      kind: PeerKind.feed,
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
  private noteState(now: number): void {
    const isFed = this.isFed(now);
    if (isFed === this.wasFed || this.isWatcher()) return;
    this.wasFed = isFed;
    const outcome = isFed ? 'dependency.regained' : 'dependency.lost';
    const ages = [...this.followers]
      .map(([prefix, follower]) => `${prefix} ${Math.round(follower.ageMs(now))} ms`)
      .join(', ');
    this.options.telemetry.log(outcome, { dependency: 'watchers', ages });
  }
}
