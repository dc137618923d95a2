import { setTimeout as sleep } from 'node:timers/promises';
import {
  type EndpointReport,
  isAdapter,
  modelOf,
  type Order,
  parseItemKey,
} from '@currantdrift/core';
import { Batch } from './batch';
import type { CheckpointLoader } from './checkpoint-loader';
import type { EngineConfig, EngineFaults } from './engine-config';
import { EngineMemory, type EngineRecord } from './engine-memory';
import { PrefixCache } from './prefix-cache';

/** Time between two snapshots for lagging reports, in ms. */
const sampleMs = 100;

/** Time after which a refused order may succeed, in ms. */
const retryMs = 1000;

/** What became of an order; `refused` had no effect. */
export type OrderResult =
  | { readonly kind: 'done' }
  | { readonly kind: 'refused'; readonly message: string; readonly retryAfterMs?: number };

const refused = (message: string, retryAfterMs?: number): OrderResult => ({
  kind: 'refused',
  message,
  retryAfterMs,
});

const done: OrderResult = { kind: 'done' };

const add = (counts: Map<string, number>, key: string): void => {
  counts.set(key, (counts.get(key) ?? 0) + 1);
};

/** State of an engine from a start of its process to its death. */
export class EngineBoot {
  readonly memory: EngineMemory;

  readonly batch: Batch;

  readonly prefixes: PrefixCache;

  role = '';

  /** Highest epoch that an order carried. */
  private epoch = 0;

  /** Orders by id that were not refused at once. */
  private readonly orders = new Map<string, Promise<OrderResult>>();

  private readonly ending = new AbortController();

  /** Reports as they were taken, oldest first. */
  private snapshots: { at: number; report: EndpointReport }[] = [];

  private sequence = 0;

  private readonly sampling: NodeJS.Timeout;

  private constructor(
    readonly id: string,
    private readonly config: EngineConfig,
    private readonly record: EngineRecord,
    private readonly loader: CheckpointLoader,
    private readonly faults: () => EngineFaults,
    private readonly die: () => void,
  ) {
    this.memory = EngineMemory.create(config.memoryBytes, record);
    this.batch = Batch.create(config, faults);
    this.prefixes = PrefixCache.create(
      config.prefixSlots,
      config.cacheEventLagMs,
      config.cacheEventGap,
    );
    this.sampling = setInterval(() => this.sample(Date.now()), sampleMs);
    this.sample(Date.now());
  }

  /** `die` is called when a fault ends the boot. */
  static create(
    id: string,
    config: EngineConfig,
    record: EngineRecord,
    loader: CheckpointLoader,
    faults: () => EngineFaults,
    die: () => void,
  ): EngineBoot {
    return new EngineBoot(id, config, record, loader, faults, die);
  }

  /** Ends the boot: orders stay unanswered and all memory is free. */
  stop(): void {
    this.memory.account(Date.now());
    this.ending.abort();
    clearInterval(this.sampling);
    this.batch.stop();
  }

  /** Carries out an order at most once; a repeated order gets the result of the first. */
  order(order: Order): Promise<OrderResult> {
    if (this.config.fencing && order.epoch < this.epoch) {
      return Promise.resolve(refused(`epoch ${order.epoch} is older than ${this.epoch}`));
    }
    this.epoch = Math.max(this.epoch, order.epoch);
    const known = this.orders.get(order.id);
    if (known !== undefined) return known;
    const problem = this.problem(order);
    if (problem !== undefined) return Promise.resolve(refused(problem, retryMs));
    const result = this.carryOut(order);
    this.orders.set(order.id, result);
    return result;
  }

  /** The report as it shows at `now`. */
  report(now: number): EndpointReport {
    this.sample(now);
    const { loadLagMs, reportLagMs } = this.config;
    const shown = this.at(now - reportLagMs);
    const { running, waiting, items } = this.at(now - reportLagMs - loadLagMs);
    const runningOf = new Map(items.map((held) => [held.item, held.running]));
    return {
      ...shown,
      running,
      waiting,
      items: shown.items.map((held) => ({ ...held, running: runningOf.get(held.item) ?? 0 })),
    };
  }

  /** Why an order is refused before it starts, if it is. */
  private problem(order: Order): string | undefined {
    const { item, kind, bytes } = order;
    if (kind === 'role') return undefined;
    const state = this.memory.state(item);
    if (kind === 'unload') {
      if (state !== 'ready') return `${item} is ${state ?? 'not loaded'}`;
      if (this.memory.running(item) > 0 || this.batch.isAwaited(item)) return `${item} is in use`;
      return this.adaptersOf(item).length > 0 ? `${item} has adapters loaded` : undefined;
    }
    if (parseItemKey(item) === undefined) return `${item} is not an item key`;
    if (state !== undefined) return `${item} is ${state} already`;
    if (isAdapter(item) && !this.holdsModelOf(item)) return `the model of ${item} is not ready`;
    if (this.config.overcommit === 'refuse' && !this.memory.fits(bytes)) {
      return `${item} does not fit into the memory`;
    }
    return undefined;
  }

  private async carryOut(order: Order): Promise<OrderResult> {
    if (order.kind === 'role') {
      this.role = order.role ?? '';
      return done;
    }
    return order.kind === 'load' ? this.load(order) : this.unload(order.item);
  }

  private async load({ item, bytes }: Order): Promise<OrderResult> {
    const { signal } = this.ending;
    this.memory.add(item, bytes, 'loading', Date.now());
    const { dieInLoad, dieAfterMs } = this.faults();
    const death = dieInLoad ? setTimeout(this.die, dieAfterMs) : undefined;
    try {
      const problem = await this.loader.load(item, bytes, signal);
      if (dieInLoad) return await this.never();
      if (problem !== undefined) {
        this.memory.remove(item, Date.now());
        return refused(problem, retryMs);
      }
      add(this.record.loads, item);
      this.memory.setState(item, 'ready', Date.now());
      return done;
    } catch {
      // The boot has ended and answers nothing.
      clearTimeout(death);
      return this.never();
    }
  }

  private async unload(item: string): Promise<OrderResult> {
    this.memory.setState(item, 'unloading', Date.now());
    await sleep(this.config.unloadMs);
    this.memory.remove(item, Date.now());
    this.prefixes.drop(item, Date.now());
    add(this.record.unloads, item);
    return done;
  }

  private never(): Promise<OrderResult> {
    return new Promise(() => {});
  }

  private adaptersOf(model: string): string[] {
    const name = parseItemKey(model)?.name;
    return this.memory
      .items()
      .map(({ item }) => item)
      .filter((item) => isAdapter(item) && modelOf(item) === name);
  }

  private holdsModelOf(adapter: string): boolean {
    return this.memory
      .items()
      .some(
        ({ item, state }) => state === 'ready' && parseItemKey(item)?.name === modelOf(adapter),
      );
  }

  private sample(now: number): void {
    this.sequence += 1;
    const { requestLimitPerS, leaving } = this.faults();
    const report: EndpointReport = {
      endpoint: this.config.name,
      bootId: this.id,
      sequence: this.sequence,
      state: leaving ? 'leaving' : 'live',
      epoch: this.epoch,
      memoryBytes: this.config.memoryBytes,
      items: this.memory.items(),
      cached: this.loader.cache.list(),
      running: this.batch.runningCount,
      waiting: this.batch.waitingCount,
      slots: this.config.slots,
      ...(requestLimitPerS !== null && { requestLimitPerS }),
    };
    this.snapshots.push({ at: now, report });
    const oldest = now - this.config.loadLagMs - this.config.reportLagMs;
    while (this.snapshots.length > 1 && this.snapshots[1].at <= oldest) this.snapshots.shift();
  }

  /** The newest snapshot that was taken at or before `time`, or the first. */
  private at(time: number): EndpointReport {
    const taken = this.snapshots.filter(({ at }) => at <= time);
    return (taken[taken.length - 1] ?? this.snapshots[0]).report;
  }
}
