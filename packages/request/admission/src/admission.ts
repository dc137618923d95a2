import type { Clock } from '@currantdrift/core';
import type { Ticket } from './entry';
import { AdmissionQueue, type Take } from './queue';
import type { AdmissionRequest } from './request';
import type { AdmissionSettings } from './settings';

/** Time between two reviews of waiting entries, in ms. */
const reviewPeriodMs = 50;

/** Time without use after which a queue and its observed rates are dropped, in ms. */
const idleQueueMs = 600_000;

/**
 * The queues of a daemon, by key (item or pool). Queues that share endpoints are served in turn,
 * so that none is always the first to find free capacity.
 */
export class Admission<T> {
  private readonly queues = new Map<string, { queue: AdmissionQueue<T>; usedAt: number }>();

  private closed = false;

  private constructor(
    private readonly take: (key: string, request: AdmissionRequest, now: number) => T | undefined,
    private readonly settings: Partial<AdmissionSettings>,
  ) {}

  static create<T>(
    take: (key: string, request: AdmissionRequest, now: number) => T | undefined,
    settings: Partial<AdmissionSettings> = {},
  ): Admission<T> {
    return new Admission(take, settings);
  }

  enter(key: string, request: AdmissionRequest, now: number): Ticket<T> {
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
    return slot.queue.enter(request, now);
  }

  queue(key: string): AdmissionQueue<T> | undefined {
    return this.queues.get(key)?.queue;
  }

  get waiting(): number {
    let sum = 0;
    this.queues.forEach(({ queue }) => {
      sum += queue.size;
    });
    return sum;
  }

  /** To be called when an endpoint has come free or a replica has become ready. */
  pump(now: number): void {
    [...this.queues].forEach(([key, slot]) => {
      const { queue } = slot;
      if (queue.size > 0) {
        const before = queue.inService;
        queue.pump(now);
        if (queue.inService === before) return;
        // Goes to the end of the map, behind the queues that were not served now.
        this.queues.delete(key);
        this.queues.set(key, slot);
      } else if (slot.queue.inService === 0 && now - slot.usedAt > idleQueueMs) {
        this.queues.delete(key);
      }
    });
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
}
