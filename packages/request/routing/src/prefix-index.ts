import { type CacheEvent, hash32 } from '@currantdrift/core';

/** Prefixes that are remembered over all endpoints; some 60 bytes each. */
const defaultMaxEntries = 65_536;

/**
 * Which endpoint probably holds which prompt prefix. Fed by cache events that are late and have
 * gaps, so every answer is a hint. Memory is bounded: the prefixes that were not seen for longest
 * are forgotten first.
 */
export class PrefixIndex {
  /** Sequence of the last event of a prefix, negative if evicted; in order of last use. */
  private readonly entries = new Map<number, number>();

  /** Last sequence seen from an endpoint, and how often it was forgotten. */
  private readonly endpoints = new Map<string, { sequence: number; generation: number }>();

  private missed = 0;

  private constructor(private readonly maxEntries: number) {}

  static create(maxEntries = defaultMaxEntries): PrefixIndex {
    return new PrefixIndex(maxEntries);
  }

  get size(): number {
    return this.entries.size;
  }

  /** Events known to be missing, for metrics. */
  get gaps(): number {
    return this.missed;
  }

  /** Sequence number after which to ask an endpoint for further events. */
  after(endpoint: string): number {
    return this.endpoints.get(endpoint)?.sequence ?? 0;
  }

  apply(endpoint: string, events: readonly CacheEvent[]): void {
    const known = this.of(endpoint);
    events.forEach((event) => {
      if (known.sequence > 0 && event.sequence > known.sequence + 1) {
        this.missed += event.sequence - known.sequence - 1;
      }
      known.sequence = Math.max(known.sequence, event.sequence);
      const key = this.key(endpoint, event.item, event.prefix);
      // A late event does not overrule a newer one of the same prefix.
      if (Math.abs(this.entries.get(key) ?? 0) >= event.sequence) return;
      this.put(key, event.kind === 'stored' ? event.sequence : -event.sequence);
    });
  }

  /** Notes that a prompt was sent to an endpoint, which will probably store its prefixes. */
  recordPrompt(endpoint: string, item: string, prefixes: readonly string[]): void {
    const { sequence } = this.of(endpoint);
    prefixes.forEach((prefix) => {
      const key = this.key(endpoint, item, prefix);
      if ((this.entries.get(key) ?? 0) <= 0) this.put(key, Math.max(1, sequence));
    });
  }

  /** Share of the prompt, 0 to 1, that the endpoint probably holds; `prefixes` shortest first. */
  match(endpoint: string, item: string, prefixes: readonly string[]): number {
    for (let index = prefixes.length - 1; index >= 0; index -= 1) {
      if ((this.entries.get(this.key(endpoint, item, prefixes[index])) ?? 0) > 0) {
        return (index + 1) / prefixes.length;
      }
    }
    return 0;
  }

  /** Forgets an endpoint whose process has restarted or that has left. */
  forget(endpoint: string): void {
    const known = this.of(endpoint);
    known.sequence = 0;
    known.generation += 1;
  }

  private of(endpoint: string): { sequence: number; generation: number } {
    let known = this.endpoints.get(endpoint);
    if (known === undefined) {
      known = { sequence: 0, generation: 0 };
      this.endpoints.set(endpoint, known);
    }
    return known;
  }

  /** A collision of two keys gives a wrong hint, which does no harm. */
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
