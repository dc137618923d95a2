import { type CacheEvent, type ChatMessage, hash32 } from '@currantdrift/core';

/** Events that are kept; older ones are a further gap. */
const maxEvents = 1000;

/** Hash of the prompt prefix that cache events name: the first message. */
export const prefixOf = (messages: readonly ChatMessage[]): string => {
  const [first] = messages;
  return hash32(first === undefined ? '' : `${first.role}\u0000${first.content}`).toString(16);
};

/** Prompt prefixes in an engine's memory, and the late, incomplete events about them. */
export class PrefixCache {
  /** Least recently used first. */
  private prefixes: { item: string; prefix: string }[] = [];

  private events: { at: number; event: CacheEvent }[] = [];

  private sequence = 0;

  private constructor(
    private readonly slots: number,
    private readonly lagMs: number,
    private readonly gap: number,
  ) {}

  /** Every `gap` events one is lost; 0 loses none. */
  static create(slots: number, lagMs: number, gap: number): PrefixCache {
    return new PrefixCache(slots, lagMs, gap);
  }

  /** Stores a prefix; true if it was there already. */
  use(item: string, prefix: string, now: number): boolean {
    const others = this.prefixes.filter((held) => held.item !== item || held.prefix !== prefix);
    const wasHeld = others.length < this.prefixes.length;
    this.prefixes = [...others, { item, prefix }];
    if (!wasHeld) this.record({ item, prefix, kind: 'stored' }, now);
    this.prefixes
      .splice(0, Math.max(0, this.prefixes.length - this.slots))
      .forEach((held) => this.record({ ...held, kind: 'evicted' }, now));
    return wasHeld;
  }

  /** Drops the prefixes of an item that is unloaded. */
  drop(item: string, now: number): void {
    const dropped = this.prefixes.filter((held) => held.item === item);
    this.prefixes = this.prefixes.filter((held) => held.item !== item);
    dropped.forEach((held) => this.record({ ...held, kind: 'evicted' }, now));
  }

  /** Events above sequence number `after` that are old enough to show. */
  shown(after: number, now: number): CacheEvent[] {
    return this.events
      .filter(({ at, event }) => at + this.lagMs <= now && event.sequence > after)
      .map(({ event }) => event);
  }

  private record(event: Omit<CacheEvent, 'sequence'>, now: number): void {
    this.sequence += 1;
    if (this.gap > 0 && this.sequence % this.gap === 0) return;
    this.events.push({ at: now, event: { sequence: this.sequence, ...event } });
    if (this.events.length > 2 * maxEvents) this.events = this.events.slice(-maxEvents);
  }
}
