import type { KeepWarmPolicy } from './keep-warm-policy';

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
    // An item that was loaded before this process began counts from the first question on.
    this.last.set(item, last);
    return last + this.ttlMs;
  }

  preloadAt(): number | undefined {
    return undefined;
  }

  /** Recently used items are worth more; the scale has no unit. */
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
      // The copy is a hint; without it every item counts as not used yet.
    }
  }
}
