import type { CacheTier } from '@currantdrift/core';

interface Checkpoint {
  readonly item: string;
  readonly bytes: number;
}

/** Checkpoints in a host's memory and on its disk; the least recently used ones move down. */
export class CheckpointCache {
  /** Least recently used first. */
  private memory: Checkpoint[] = [];

  private disk: Checkpoint[] = [];

  private constructor(
    private readonly memoryBytes: number,
    private readonly diskBytes: number,
  ) {}

  static create(memoryBytes: number, diskBytes: number): CheckpointCache {
    return new CheckpointCache(memoryBytes, diskBytes);
  }

  tier(item: string): CacheTier {
    const isItem = (checkpoint: Checkpoint) => checkpoint.item === item;
    if (this.memory.some(isItem)) return 'memory';
    return this.disk.some(isItem) ? 'disk' : 'remote';
  }

  /** Puts a checkpoint in a tier as the most recently used. */
  put(item: string, bytes: number, tier: CacheTier): void {
    this.remove(item);
    if (tier === 'remote') return;
    if (tier === 'memory') this.memory.push({ item, bytes });
    else this.disk.push({ item, bytes });
    this.demote();
  }

  list(): { item: string; tier: CacheTier }[] {
    return [
      ...this.memory.map(({ item }) => ({ item, tier: 'memory' as const })),
      ...this.disk.map(({ item }) => ({ item, tier: 'disk' as const })),
    ];
  }

  private remove(item: string): void {
    this.memory = this.memory.filter((checkpoint) => checkpoint.item !== item);
    this.disk = this.disk.filter((checkpoint) => checkpoint.item !== item);
  }

  private demote(): void {
    const size = (tier: readonly Checkpoint[]) => tier.reduce((sum, { bytes }) => sum + bytes, 0);
    while (size(this.memory) > this.memoryBytes) this.disk.push(...this.memory.splice(0, 1));
    while (size(this.disk) > this.diskBytes) this.disk.shift();
  }
}
