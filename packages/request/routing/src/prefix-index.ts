import { type CacheEvent, hash32 } from '@currantdrift/core';

/** Number of prefixes kept over all endpoints; each takes about 60 bytes. */
const defaultMaxEntries = 65_536;

/**
 * Tracks which endpoint probably has which prompt prefix cached. Cache events arrive late and with
 * gaps, so results are hints. Memory is bounded: the least recently updated prefixes are evicted
 * first.
 */
export class PrefixIndex {
  /** Sequence of the last event of a prefix, negative if evicted; least recently updated first. */
  private readonly entries = new Map<number, number>();

  /** Last sequence received from an endpoint, and how often the endpoint was forgotten. */
  private readonly endpoints = new Map<string, { sequence: number; generation: number }>();

  private missedCount = 0;

  private constructor(private readonly maxEntries: number) {}

  static create(maxEntries = defaultMaxEntries): PrefixIndex {
    return new PrefixIndex(maxEntries);
  }

  get size(): number {
    return this.entries.size;
  }

  /** Number of cache events known to be missing, for metrics. */
  get missedEvents(): number {
    return this.missedCount;
  }

  /** Sequence number after which to request further events from an endpoint. */
  after(endpoint: string): number {
    return this.endpoints.get(endpoint)?.sequence ?? 0;
  }

  apply(endpoint: string, events: readonly CacheEvent[]): void {
    const state = this.endpointState(endpoint);
    events.forEach((event) => {
      if (state.sequence > 0 && event.sequence > state.sequence + 1) {
        this.missedCount += event.sequence - state.sequence - 1;
      }
      state.sequence = Math.max(state.sequence, event.sequence);
      const key = this.key(endpoint, event.item, event.prefix);
      // A late event does not override a newer one for the same prefix.
      if (Math.abs(this.entries.get(key) ?? 0) >= event.sequence) return;
      this.put(key, event.kind === 'stored' ? event.sequence : -event.sequence);
    });
  }

  /** Records that a prompt was sent to an endpoint, which will probably cache its prefixes. */
  recordPrompt(endpoint: string, item: string, prefixes: readonly string[]): void {
    const { sequence } = this.endpointState(endpoint);
    prefixes.forEach((prefix) => {
      const key = this.key(endpoint, item, prefix);
      if ((this.entries.get(key) ?? 0) <= 0) this.put(key, Math.max(1, sequence));
    });
  }

  /** Share of the prompt, 0 to 1, that the endpoint probably has cached; shortest prefix first. */
  match(endpoint: string, item: string, prefixes: readonly string[]): number {
    for (let index = prefixes.length - 1; index >= 0; index -= 1) {
      if ((this.entries.get(this.key(endpoint, item, prefixes[index])) ?? 0) > 0) {
        return (index + 1) / prefixes.length;
      }
    }
    return 0;
  }

  /** Discards the prefixes of an endpoint that has left or whose process has restarted. */
  forget(endpoint: string): void {
    const state = this.endpointState(endpoint);
    state.sequence = 0;
    state.generation += 1;
  }

  private endpointState(endpoint: string): { sequence: number; generation: number } {
    let state = this.endpoints.get(endpoint);
    if (state === undefined) {
      state = { sequence: 0, generation: 0 };
      this.endpoints.set(endpoint, state);
    }
    return state;
  }

  /** A hash collision gives a wrong hint, which is harmless. */
  private key(endpoint: string, item: string, prefix: string): number {
    const generation = this.endpoints.get(endpoint)?.generation ?? 0;
    return hash32(`${endpoint}\u0000${generation}\u0000${item}\u0000${prefix}`);
  }

  private put(key: number, sequence: number): void {
    this.entries.delete(key);
    this.entries.set(key, sequence);
    if (this.entries.size <= this.maxEntries) return;
    const oldest = this.entries.keys().next();
    if (!oldest.done) this.entries.delete(oldest.value);
  }
}
