import { pack } from 'msgpackr';
import { type Fact, type WireFact, toWire } from './fact';

/** Maximum size of the updates in one message, in bytes. */
export const maxGossipBytes = 600;

/** Larger facts are announced by key and rank and fetched on demand, in bytes. */
const maxInlineBytes = 300;

/** Maximum size of pending updates, in bytes; the oldest are dropped and left to repair. */
const maxBacklogBytes = 16 * 1024;

interface Update {
  readonly wire: WireFact;
  readonly bytes: number;
  readonly isUrgent: boolean;
  /** Time at which the update was added, in ms since the epoch. */
  readonly since: number;
  sent: number;
}

/** Queue of updates piggybacked on probes until each was sent often enough to reach all members. */
export class Gossip {
  private readonly updates = new Map<string, Update>();

  /** Encoded size of the pending updates, in bytes. */
  backlogBytes = 0;

  private constructor() {}

  static create(): Gossip {
    return new Gossip();
  }

  /** Queues a fact; non-urgent updates are sent fewer times, in space left by urgent ones. */
  add(fact: Fact, isUrgent: boolean, now: number): void {
    const whole = toWire(fact);
    const size = pack(whole).length;
    const wire: WireFact = size <= maxInlineBytes ? whole : [fact.key, fact.rank];
    const bytes = size <= maxInlineBytes ? size : pack(wire).length;
    this.remove(fact.key);
    this.updates.set(fact.key, { wire, bytes, isUrgent, since: now, sent: 0 });
    this.backlogBytes += bytes;
    if (this.backlogBytes > maxBacklogBytes) this.dropOldest();
  }

  /** Returns up to `maxGossipBytes` of updates for one message in a domain of `memberCount`. */
  take(memberCount: number): WireFact[] {
    const rounds = Math.ceil(Math.log2(memberCount + 1));
    const limit = (update: Update) => (update.isUrgent ? 3 * rounds : rounds);
    const ordered = [...this.updates].sort(
      ([, a], [, b]) => Number(b.isUrgent) - Number(a.isUrgent) || a.sent - b.sent,
    );
    let remaining = maxGossipBytes;
    const taken: WireFact[] = [];
    ordered.forEach(([key, update]) => {
      if (update.bytes > remaining) return;
      const sending = update;
      remaining -= update.bytes;
      sending.sent += 1;
      taken.push(update.wire);
      if (sending.sent >= limit(update)) this.remove(key);
    });
    return taken;
  }

  /** Drops updates that were added before `time`, except the keys in `needed`. */
  dropBefore(time: number, needed: ReadonlySet<string>): void {
    this.updates.forEach((update, key) => {
      if (update.since < time && !needed.has(key)) this.remove(key);
    });
  }

  private remove(key: string): void {
    this.backlogBytes -= this.updates.get(key)?.bytes ?? 0;
    this.updates.delete(key);
  }

  private dropOldest(): void {
    const [oldest] = this.updates.keys();
    this.remove(oldest);
  }
}
