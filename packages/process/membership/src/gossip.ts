import { pack } from 'msgpackr';
import { type Fact, type WireFact, toWire } from './fact';

/** Bytes of updates in one message. */
export const maxGossipBytes = 600;

/** Facts above this size are announced by key and version and fetched, in bytes. */
const maxInlineBytes = 300;

/** Pending updates above this size are left to the digest comparison, in bytes. */
const maxBacklogBytes = 16 * 1024;

interface Update {
  readonly wire: WireFact;
  readonly bytes: number;
  readonly isUrgent: boolean;
  /** Time at which it was learned, in ms since the epoch. */
  readonly since: number;
  sent: number;
}

/** Updates that go along with probes until each was sent often enough to reach every member. */
export class Gossip {
  private readonly updates = new Map<string, Update>();

  /** Encoded size of the pending updates, in bytes. */
  backlogBytes = 0;

  private constructor() {}

  static create(): Gossip {
    return new Gossip();
  }

  /** Updates that are not urgent are sent less often and only where urgent ones leave room. */
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

  /** Updates for one message, at most `maxGossipBytes`, to a domain of `memberCount` members. */
  take(memberCount: number): WireFact[] {
    const rounds = Math.ceil(Math.log2(memberCount + 1));
    const limit = (update: Update) => (update.isUrgent ? 3 * rounds : rounds);
    const ordered = [...this.updates].sort(
      ([, a], [, b]) => Number(b.isUrgent) - Number(a.isUrgent) || a.sent - b.sent,
    );
    let room = maxGossipBytes;
    const taken: WireFact[] = [];
    ordered.forEach(([key, update]) => {
      if (update.bytes > room) return;
      const sending = update;
      room -= update.bytes;
      sending.sent += 1;
      taken.push(update.wire);
      if (sending.sent >= limit(update)) this.remove(key);
    });
    return taken;
  }

  /** Stops sending updates that were learned before `time`, other than those in `needed`. */
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
