import type { LoadedItem } from '@currantdrift/core';

interface Held {
  readonly bytes: number;
  readonly state: LoadedItem['state'];
  readonly running: number;
  /** When the present running or idle time began, in ms since the epoch. */
  readonly since: number;
}

/** What the engine did over all its boots. */
export interface EngineRecord {
  peakBytes: number;
  readonly overcommits: { item: string; bytes: number; usedBytes: number; at: number }[];
  readonly loads: Map<string, number>;
  readonly unloads: Map<string, number>;
  /** Time that items were ready, in ms, with and without running requests. */
  busyMs: number;
  idleMs: number;
}

export const emptyRecord = (): EngineRecord => ({
  peakBytes: 0,
  overcommits: [],
  loads: new Map(),
  unloads: new Map(),
  busyMs: 0,
  idleMs: 0,
});

/** Accelerator memory of one boot of the engine. */
export class EngineMemory {
  private readonly held = new Map<string, Held>();

  private constructor(
    private readonly memoryBytes: number,
    private readonly record: EngineRecord,
  ) {}

  static create(memoryBytes: number, record: EngineRecord): EngineMemory {
    return new EngineMemory(memoryBytes, record);
  }

  get usedBytes(): number {
    return [...this.held.values()].reduce((sum, { bytes }) => sum + bytes, 0);
  }

  fits(bytes: number): boolean {
    return this.usedBytes + bytes <= this.memoryBytes;
  }

  state(item: string): LoadedItem['state'] | undefined {
    return this.held.get(item)?.state;
  }

  running(item: string): number {
    return this.held.get(item)?.running ?? 0;
  }

  items(): LoadedItem[] {
    return [...this.held].map(([item, { bytes, state, running }]) => ({
      item,
      bytes,
      state,
      running,
    }));
  }

  /** Takes the memory of an item; records an overcommit. */
  add(item: string, bytes: number, state: LoadedItem['state'], now: number): void {
    this.held.set(item, { bytes, state, running: 0, since: now });
    const { usedBytes } = this;
    this.record.peakBytes = Math.max(this.record.peakBytes, usedBytes);
    if (usedBytes > this.memoryBytes) {
      this.record.overcommits.push({ item, bytes, usedBytes, at: now });
    }
  }

  setState(item: string, state: LoadedItem['state'], now: number): void {
    this.change(item, { state }, now);
  }

  /** Adds to the number of requests that run on an item. */
  addRunning(item: string, by: number, now: number): void {
    this.change(item, { running: this.running(item) + by }, now);
  }

  remove(item: string, now: number): void {
    this.change(item, {}, now);
    this.held.delete(item);
  }

  /** Adds the time up to `now` to the record. */
  account(now: number): void {
    [...this.held.keys()].forEach((item) => this.change(item, {}, now));
  }

  private change(item: string, change: Partial<Held>, now: number): void {
    const held = this.held.get(item);
    if (held === undefined) return;
    if (held.state === 'ready') {
      if (held.running > 0) this.record.busyMs += now - held.since;
      else this.record.idleMs += now - held.since;
    }
    this.held.set(item, { ...held, since: now, ...change });
  }
}
