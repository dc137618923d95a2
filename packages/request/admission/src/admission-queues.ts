import type { Clock } from '@currantdrift/core';
import type { Ticket } from './queue-entry';
import { AdmissionQueue, type Take } from './queue';
import type { AdmissionRequest } from './request';
import type { AdmissionSettings } from './settings';

/** Time between two reviews of waiting entries, in ms. */
const reviewPeriodMs = 50;

/** Time without use after which a queue and its observed rates are dropped, in ms. */
const idleQueueMs = 600_000;

/** Time between two searches for such queues, in ms. */
const pruneMs = 60_000;

/**
 * The queues of a daemon, by key (item or pool). Queues that share endpoints are served in turn,
 * so that none is always the first to find free capacity.
 */
export class AdmissionQueues<T> {
  private readonly queues = new Map<string, { queue: AdmissionQueue<T>; usedAt: number }>();

  /** Queues with entries waiting, in the order in which they are served. */
  private readonly backlogged = new Map<string, AdmissionQueue<T>>();

  private prunedAt = 0;

  private closed = false;

  private constructor(
    private readonly take: (key: string, request: AdmissionRequest, now: number) => T | undefined,
    private readonly settings: Partial<AdmissionSettings>,
  ) {}

  static create<T>(
    take: (key: string, request: AdmissionRequest, now: number) => T | undefined,
    settings: Partial<AdmissionSettings> = {},
  ): AdmissionQueues<T> {
    return new AdmissionQueues(take, settings);
  }

  enqueue(key: string, request: AdmissionRequest, now: number): Ticket<T> {
    let slot = this.queues.get(key);
    if (slot === undefined) {
      const take: Take<T> = (head, at) => this.take(key, head, at);
      const onFinish = (at: number) => this.pump(at);
      const queue = AdmissionQueue.create(take, this.settings, onFinish);
      slot = { queue, usedAt: now };
      if (this.closed) slot.queue.close(now);
      else this.queues.set(key, slot);
    }
    slot.usedAt = now;
    const ticket = slot.queue.enter(request, now);
    if (slot.queue.size > 0 && !this.backlogged.has(key)) this.backlogged.set(key, slot.queue);
    return ticket;
  }

  queue(key: string): AdmissionQueue<T> | undefined {
    return this.queues.get(key)?.queue;
  }

  get waiting(): number {
    let sum = 0;
    this.backlogged.forEach((queue) => {
      sum += queue.size;
    });
    return sum;
  }

  /** To be called when an endpoint has come free or a replica has become ready. */
  pump(now: number): void {
    [...this.backlogged].forEach(([key, queue]) => {
      const before = queue.inService;
      queue.pump(now);
      if (queue.size === 0) this.backlogged.delete(key);
      else if (queue.inService > before) {
        // Goes behind the queues that were not served now.
        this.backlogged.delete(key);
        this.backlogged.set(key, queue);
      }
    });
    this.prune(now);
  }

  /** Pumps until `signal` is aborted. */
  async run(clock: Clock, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.pump(clock.now());
      await clock.sleep(reviewPeriodMs, signal);
    }
  }

  /** Refuses all that wait and all that come later. */
  close(now: number): void {
    this.closed = true;
    this.queues.forEach(({ queue }) => queue.close(now));
  }

  private prune(now: number): void {
    if (now - this.prunedAt < pruneMs) return;
    this.prunedAt = now;
    this.queues.forEach(({ queue, usedAt }, key) => {
      const used = queue.size > 0 || queue.inService > 0;
      if (!used && now - usedAt > idleQueueMs) this.queues.delete(key);
    });
  }
}
