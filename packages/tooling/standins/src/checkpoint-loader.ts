import { setTimeout as sleep } from 'node:timers/promises';
import { isAdapter } from '@currantdrift/core';
import { Agent, request } from 'undici';
import { CheckpointCache } from './checkpoint-cache';
import type { EngineConfig } from './engine-config';

/** Brings checkpoints to an engine, each from the fastest tier that holds it. */
export class CheckpointLoader {
  readonly cache: CheckpointCache;

  private readonly agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });

  private constructor(private readonly config: EngineConfig) {
    this.cache = CheckpointCache.create(config.memoryTierBytes, config.diskTierBytes);
    config.cached.forEach(({ item, bytes, tier }) => this.cache.put(item, bytes, tier));
  }

  static create(config: EngineConfig): CheckpointLoader {
    return new CheckpointLoader(config);
  }

  /** Gives the reason if the checkpoint could not be loaded. Rejects when `signal` aborts. */
  async load(item: string, bytes: number, signal: AbortSignal): Promise<string | undefined> {
    const { memoryBytesPerSecond, diskBytesPerSecond, remoteBytesPerSecond } = this.config;
    const tier = this.cache.tier(item);
    if (tier === 'remote' && this.config.weights !== undefined) {
      const problem = await this.fetch(this.config.weights, item, bytes, signal);
      if (problem !== undefined) return problem;
    } else {
      const speeds = {
        memory: memoryBytesPerSecond,
        disk: diskBytesPerSecond,
        remote: remoteBytesPerSecond,
      };
      await sleep((bytes * 1000) / speeds[tier], undefined, { signal });
    }
    this.cache.put(item, bytes, 'memory');
    return undefined;
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async fetch(
    weights: string,
    item: string,
    bytes: number,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    const kind = isAdapter(item) ? 'adapters' : 'models';
    try {
      const answer = await request(`http://${weights}/fetches/${kind}`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ item, bytes }),
        dispatcher: this.agent,
        signal,
      });
      await answer.body.dump();
      return answer.statusCode === 200
        ? undefined
        : `the weight store answered with status ${answer.statusCode}`;
    } catch (error) {
      if (signal.aborted) throw error;
      return `the weight store failed: ${(error as Error).message}`;
    }
  }
}
