import { CallerQueue } from './caller-queue';
import type { QueueEntry } from './queue-entry';
import type { AdmissionRequest } from './request';

/**
 * Waiting entries of one priority, in start-time fair queueing. The caller with the smallest start
 * tag is served next, and each service increases its tag by cost / weight. A caller that returns
 * starts at the current virtual time, so that idle time earns no credit.
 */
export class FairQueue<T, R extends AdmissionRequest = AdmissionRequest> {
  private readonly callerQueues = new Map<string, CallerQueue<T, R>>();

  /** Start tags, still ahead of virtual time, of callers without waiting entries. */
  private readonly departedStartTags = new Map<string, number>();

  /** The caller to be served next; undefined after a change, until it is needed. */
  private next: CallerQueue<T, R> | undefined;

  private virtualTime = 0;

  private count = 0;

  private constructor() {}

  static create<T, R extends AdmissionRequest = AdmissionRequest>(): FairQueue<T, R> {
    return new FairQueue<T, R>();
  }

  get size(): number {
    return this.count;
  }

  add(entry: QueueEntry<T, R>, now: number): void {
    const { caller, weight } = entry.request;
    let callerQueue = this.callerQueues.get(caller);
    if (callerQueue === undefined) {
      callerQueue = CallerQueue.create(caller, weight, this.startTagOf(caller));
      this.callerQueues.set(caller, callerQueue);
      this.departedStartTags.delete(caller);
    }
    callerQueue.weight = weight;
    callerQueue.add(entry, now);
    this.next = undefined;
    this.count += 1;
  }

  /** Returns the entry to be served next. */
  first(now: number): QueueEntry<T, R> | undefined {
    return this.nextCaller(now)?.first(now);
  }

  /** Removes the entry that `first` returned and charges it to its caller. */
  dequeue(now: number): void {
    const callerQueue = this.nextCaller(now);
    if (callerQueue === undefined) return;
    this.virtualTime = callerQueue.startTag;
    callerQueue.shift(now);
    this.next = undefined;
    this.count -= 1;
    this.removeIfEmpty(callerQueue);
  }

  /** Removes an entry that is not served, without charging its caller. */
  remove(entry: QueueEntry<T, R>): boolean {
    const callerQueue = this.callerQueues.get(entry.request.caller);
    if (callerQueue === undefined || !callerQueue.remove(entry)) return false;
    this.next = undefined;
    this.count -= 1;
    this.removeIfEmpty(callerQueue);
    return true;
  }

  /** Estimates the number of entries served before `entry`, which need not be in the queue. */
  countAhead(entry: QueueEntry<T, R>, now: number): number {
    const { caller, weight } = entry.request;
    const own = this.callerQueues.get(caller);
    const before = own?.countBefore(entry, now) ?? 0;
    const start = own?.startTag ?? this.startTagOf(caller);
    const entryTag = start + (own?.costOfFirst(before) ?? 0) / weight;
    let ahead = before;
    this.callerQueues.forEach((callerQueue) => {
      if (callerQueue === own || callerQueue.startTag > entryTag) return;
      ahead += Math.min(
        callerQueue.size,
        Math.floor((entryTag - callerQueue.startTag) * callerQueue.weight) + 1,
      );
    });
    return ahead;
  }

  /** Last entry of the caller with the longest backlog relative to its weight. */
  last(): QueueEntry<T, R> | undefined {
    let longest: CallerQueue<T, R> | undefined;
    this.callerQueues.forEach((callerQueue) => {
      const length = callerQueue.size / callerQueue.weight;
      if (longest === undefined || length > longest.size / longest.weight) longest = callerQueue;
    });
    return longest?.last();
  }

  /** Number of waiting entries of `caller` per unit of `weight`. */
  backlogPerWeight(caller: string, weight: number): number {
    return (this.callerQueues.get(caller)?.size ?? 0) / weight;
  }

  private startTagOf(caller: string): number {
    return Math.max(this.virtualTime, this.departedStartTags.get(caller) ?? 0);
  }

  private nextCaller(now: number): CallerQueue<T, R> | undefined {
    if (this.next !== undefined) return this.next;
    let best: CallerQueue<T, R> | undefined;
    this.callerQueues.forEach((callerQueue) => {
      if (best === undefined || FairQueue.precedes(callerQueue, best, now)) best = callerQueue;
    });
    this.next = best;
    return best;
  }

  private static precedes<T, R extends AdmissionRequest>(
    a: CallerQueue<T, R>,
    b: CallerQueue<T, R>,
    now: number,
  ): boolean {
    if (a.startTag !== b.startTag) return a.startTag < b.startTag;
    const [first, second] = [a.first(now), b.first(now)];
    if (first === undefined || second === undefined) return first !== undefined;
    const difference = first.request.deadline - second.request.deadline;
    return difference < 0 || (difference === 0 && first.sequence < second.sequence);
  }

  private removeIfEmpty(callerQueue: CallerQueue<T, R>): void {
    if (callerQueue.size > 0) return;
    this.callerQueues.delete(callerQueue.caller);
    this.departedStartTags.forEach((startTag, caller) => {
      if (startTag <= this.virtualTime) this.departedStartTags.delete(caller);
    });
    if (this.callerQueues.size === 0) {
      // Without a backlog there is nothing to share, so all callers start equal.
      this.virtualTime = 0;
      this.departedStartTags.clear();
    } else if (callerQueue.startTag > this.virtualTime) {
      this.departedStartTags.set(callerQueue.caller, callerQueue.startTag);
    }
  }
}
