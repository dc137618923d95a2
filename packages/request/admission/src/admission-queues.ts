import type { Clock } from '@currantdrift/core';
import type { Ticket } from './queue-entry';
import { AdmissionQueue, type AcquireCapacity } from './queue';
import type { AdmissionRequest } from './request';
import type { AdmissionSettings } from './settings';

/** Time between two calls of `pump`, in ms. */
const reviewPeriodMs = 50;

/** Idle time after which a queue and its measured rates are removed, in ms. */
const idleQueueMs = 600_000;

/** Time between two searches for idle queues, in ms. */
const pruneIntervalMs = 60_000;

/**
 * The admission queues of a daemon, by key (item or pool). Queues that share endpoints take turns,
 * so that none is always the first to find free capacity.
 */
export class AdmissionQueues<T, R extends AdmissionRequest = AdmissionRequest> {
  private readonly queues = new Map<string, { queue: AdmissionQueue<T, R>; usedAt: number }>();

  /** Queues with entries waiting, in the order in which they are served. */
  private readonly backlogged = new Map<string, AdmissionQueue<T, R>>();

  private prunedAt = 0;

  private closed = false;

  private constructor(
    private readonly acquire: (key: string, request: R, now: number) => T | undefined,
    private readonly settings: Partial<AdmissionSettings>,
    private readonly onFinish: ((now: number) => void) | undefined,
  ) {}

  /** `onFinish` is called when a grant has ended; by default it calls `pump`. */
  static create<T, R extends AdmissionRequest = AdmissionRequest>(
    acquire: (key: string, request: R, now: number) => T | undefined,
    settings: Partial<AdmissionSettings> = {},
    onFinish?: (now: number) => void,
  ): AdmissionQueues<T, R> {
    return new AdmissionQueues(acquire, settings, onFinish);
  }

  enqueue(key: string, request: R, now: number): Ticket<T> {
    let record = this.queues.get(key);
    if (record === undefined) {
      const acquire: AcquireCapacity<T, R> = (head, at) => this.acquire(key, head, at);
      const onFinish = this.onFinish ?? ((at: number) => this.pump(at));
      const queue = AdmissionQueue.create(acquire, this.settings, onFinish);
      record = { queue, usedAt: now };
      if (this.closed) record.queue.close(now);
      else this.queues.set(key, record);
    }
    record.usedAt = now;
    const ticket = record.queue.enqueue(request, now);
    if (record.queue.size > 0 && !this.backlogged.has(key)) this.backlogged.set(key, record.queue);
    return ticket;
  }

  queue(key: string): AdmissionQueue<T, R> | undefined {
    return this.queues.get(key)?.queue;
  }

  get isIdle(): boolean {
    return this.backlogged.size === 0;
  }

  get waiting(): number {
    let sum = 0;
    this.backlogged.forEach((queue) => {
      sum += queue.size;
    });
    return sum;
  }

  /** Call this when an endpoint has become free or a replica has become ready. */
  pump(now: number): void {
    [...this.backlogged].forEach(([key, queue]) => {
      const before = queue.inFlight;
      queue.pump(now);
      if (queue.size === 0) this.backlogged.delete(key);
      else if (queue.inFlight > before) {
        // Moves the queue behind those that were not served in this round.
        this.backlogged.delete(key);
        this.backlogged.set(key, queue);
      }
    });
    this.prune(now);
  }

  /**
   * Call this when capacity that only some queues can use has become free. Grants one entry at a time,
   * each from the queue whose first request has the highest priority, then the earliest target.
   */
  pumpSome(keys: Iterable<string>, now: number): void {
    let queues = [...new Set(keys)].flatMap((key) => this.backlogged.get(key) ?? []);
    while (queues.length > 0) {
      const next = AdmissionQueues.mostUrgent(queues, now);
      if (!next.grantFirst(now)) queues = queues.filter((queue) => queue !== next);
    }
  }

  /** Calls `pump` periodically until `signal` is aborted. */
  async run(clock: Clock, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.pump(clock.now());
      await clock.sleep(reviewPeriodMs, signal);
    }
  }

  /** Refuses all waiting and all later requests. */
  close(now: number): void {
    this.closed = true;
    this.queues.forEach(({ queue }) => queue.close(now));
  }

  private static mostUrgent<T, R extends AdmissionRequest>(
    queues: readonly AdmissionQueue<T, R>[],
    now: number,
  ): AdmissionQueue<T, R> {
    return queues.reduce((best, queue) =>
      AdmissionQueues.precedes(queue.first(now), best.first(now)) ? queue : best,
    );
  }

  private static precedes(a?: AdmissionRequest, b?: AdmissionRequest): boolean {
    if (a === undefined || b === undefined) return a !== undefined;
    if (a.priority !== b.priority) return a.priority > b.priority;
    return (a.target ?? a.deadline) < (b.target ?? b.deadline);
  }

  private prune(now: number): void {
    if (now - this.prunedAt < pruneIntervalMs) return;
    this.prunedAt = now;
    this.queues.forEach(({ queue, usedAt }, key) => {
      const inUse = queue.size > 0 || queue.inFlight > 0;
      if (!inUse && now - usedAt > idleQueueMs) this.queues.delete(key);
    });
  }
}
