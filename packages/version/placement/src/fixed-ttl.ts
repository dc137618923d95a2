import type { KeepWarmPolicy } from './keep-warm';

/** Keeps every item for a fixed time after its last request. */
export class FixedTtl implements KeepWarmPolicy {
  private readonly last = new Map<string, number>();

  private constructor(private readonly ttlMs: number) {}

  static create(ttlMs: number): FixedTtl {
    return new FixedTtl(ttlMs);
  }

  touch(item: string, now: number): void {
    this.last.set(item, now);
  }

  keepUntil(item: string, now: number): number {
    const last = this.last.get(item) ?? now;
    // For an item without a request in this process, the time starts at the first call.
    this.last.set(item, last);
    return last + this.ttlMs;
  }

  preloadAt(): number | undefined {
    return undefined;
  }

  /** Higher for recently used items; the scale has no unit. */
  value(item: string, now: number): number {
    return 1 / (1 + now - (this.last.get(item) ?? 0));
  }

  snapshot(): string {
    return JSON.stringify([...this.last]);
  }

  restore(snapshot: string): void {
    try {
      (JSON.parse(snapshot) as [string, number][]).forEach(([item, at]) => this.last.set(item, at));
    } catch {
      // The snapshot is optional; without it every item counts as unused.
    }
  }
}
