import type { Clock, Listing, Random, Telemetry } from '@currantdrift/core';
import { type FeedMessage, PeerKind } from '../connection/peer-messages';
import type { Member, Members } from '../version/members';
import type { Batch, Feed, PrefixFollower } from './prefix-follower';

/** Pause between two messages of a watcher that has nothing new, in ms. */
const heartbeatMs = 400;

/** Age of the store's last answer to a watcher up to which its messages count as current, in ms. */
const contactLifetimeMs = 1_500;

/** How far this process has read below a prefix, and up to where it has told the others. */
interface Progress {
  readonly told: number;
  readonly read: number;
}

/** Time for which a new member waits for the entries of a watcher, in ms, and a random addition. */
const snapshotMs = 2_000;
const snapshotJitterMs = 2_000;

/** Pause before a watcher is asked again that does not have the entries yet, in ms. */
const snapshotPauseMs = 150;

export interface StoreFeedOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly self: Member;
  readonly members: Members;
  readonly send: (address: string, message: FeedMessage) => void;
  /** Asks a watcher for its entries below a prefix; undefined if it has none to give. */
  readonly ask: (address: string, prefix: string) => Promise<Listing | undefined>;
}

/**
 * Lets two members of each failure domain follow the store for the others. A member that hears of no
 * watcher in contact with the store asks the store itself.
 */
export class StoreFeed implements Feed {
  private readonly followers = new Map<string, PrefixFollower>();

  private readonly progress = new Map<string, Progress>();

  /** Time of the store's last answer to each watcher that was heard, on the own clock. */
  private readonly contacts = new Map<string, number>();

  private confirmedAt = -Infinity;

  private wasFed = false;

  private constructor(private readonly options: StoreFeedOptions) {}

  static create(options: StoreFeedOptions): StoreFeed {
    return new StoreFeed(options);
  }

  /** Adds the follower of a prefix, which then takes what watchers read. */
  attach(prefix: string, follower: PrefixFollower): void {
    this.followers.set(prefix, follower);
  }

  /** Whether this process follows the store for others. */
  isWatcher(): boolean {
    const { members, self } = this.options;
    return members.watchersOf(self.domain).some(({ host }) => host === self.host);
  }

  fedUntil(now: number): number {
    if (this.isWatcher()) return -Infinity;
    const until = Math.max(-Infinity, ...this.contacts.values()) + contactLifetimeMs;
    return until > now ? until : -Infinity;
  }

  confirmed(sentAt: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, sentAt);
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
   * All entries below a prefix as a watcher of this domain knows them. Answers the load pattern "all
   * daemons start at once": a large configuration would cross the link to the store once for each.
   */
  async snapshot(prefix: string): Promise<Listing | undefined> {
    const { clock, random, ask, self, members } = this.options;
    const endsAt = clock.now() + snapshotMs + random.next() * snapshotJitterMs;
    while (clock.now() < endsAt && !this.isWatcher()) {
      const watchers = members.watchersOf(self.domain);
      for (const { address } of watchers) {
        const listing = await ask(address, prefix);
        if (listing !== undefined) return listing;
      }
      await clock.sleep(snapshotPauseMs);
    }
    return undefined;
  }

  /** The entries below a prefix for a member that asks; undefined if they may be old. */
  entriesFor(prefix: string): Listing | undefined {
    const isCurrent = this.options.clock.now() - this.confirmedAt < contactLifetimeMs;
    return this.isWatcher() && isCurrent ? this.followers.get(prefix)?.snapshot() : undefined;
  }

  /** Takes what a watcher read. */
  heard({ host, contactAgeMs, batches }: FeedMessage): void {
    this.contacts.set(host, this.options.clock.now() - contactAgeMs);
    batches.forEach((batch) => this.followers.get(batch.prefix)?.receive(batch));
  }

  /** Tells the others, as long as this process is a watcher, that nothing is missing. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      this.tell(this.unchanged());
      this.noteState(clock.now());
      await clock.sleep(heartbeatMs, signal);
    }
  }

  /** Batches that only say how far this process has read. */
  private unchanged(): Batch[] {
    return [...this.progress].map(([prefix, { told, read }]) => {
      this.progress.set(prefix, { told: read, read });
      return { prefix, after: told, revision: read, changes: [] };
    });
  }

  private tell(batches: readonly Batch[]): void {
    if (!this.isWatcher()) return;
    const { clock, self, members, send } = this.options;
    const contactAgeMs = Math.min(1e9, clock.now() - this.confirmedAt);
    const message = { kind: PeerKind.feed, host: self.host, contactAgeMs, batches: [...batches] };
    const watchers = new Set(members.watchersOf(self.domain).map(({ host }) => host));
    members
      .others(self.host)
      .filter(({ domain, host }) => domain === self.domain && !watchers.has(host))
      .forEach(({ address }) => send(address, message as FeedMessage));
  }

  /** Logs when the watchers of this domain are lost or heard again. */
  private noteState(now: number): void {
    const fed = this.fedUntil(now) > now;
    if (fed === this.wasFed) return;
    this.wasFed = fed;
    const outcome = fed ? 'dependency.regained' : 'dependency.lost';
    const contacts = [...this.contacts]
      .map(([host, at]) => `${host} ${Math.round(now - at)} ms`)
      .join(', ');
    this.options.telemetry.log(outcome, { dependency: 'watchers', contacts });
  }
}
