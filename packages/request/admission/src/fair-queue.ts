import type { QueueEntry } from './queue-entry';

/** Waiting entries of one caller at one priority, earliest deadline first. */
interface CallerQueue<T> {
  readonly caller: string;
  weight: number;
  /** Start tag of the caller's next entry, in virtual time. */
  startTag: number;
  readonly entries: QueueEntry<T>[];
}

const costOf = <T>(entry: QueueEntry<T>): number => entry.request.cost ?? 1;

const precedes = <T>(a: QueueEntry<T>, b: QueueEntry<T>): boolean =>
  a.request.deadline < b.request.deadline ||
  (a.request.deadline === b.request.deadline && a.sequence < b.sequence);

/**
 * Waiting entries of one priority, in start-time fair queueing. The caller with the smallest start
 * tag is served next, and each service increases its tag by cost / weight. A caller that returns
 * starts at the current virtual time, so that idle time earns no credit.
 */
export class FairQueue<T> {
  private readonly callerQueues = new Map<string, CallerQueue<T>>();

  /** Start tags, still ahead of virtual time, of callers without waiting entries. */
  private readonly departedStartTags = new Map<string, number>();

  private virtualTime = 0;

  private count = 0;

  private constructor() {}

  static create<T>(): FairQueue<T> {
    return new FairQueue<T>();
  }

  get size(): number {
    return this.count;
  }

  add(entry: QueueEntry<T>): void {
    const { caller, weight } = entry.request;
    let callerQueue = this.callerQueues.get(caller);
    if (callerQueue === undefined) {
      const startTag = Math.max(this.virtualTime, this.departedStartTags.get(caller) ?? 0);
      callerQueue = { caller, weight, startTag, entries: [] };
      this.callerQueues.set(caller, callerQueue);
      this.departedStartTags.delete(caller);
    }
    callerQueue.weight = weight;
    let index = callerQueue.entries.length;
    while (index > 0 && precedes(entry, callerQueue.entries[index - 1])) index -= 1;
    callerQueue.entries.splice(index, 0, entry);
    this.count += 1;
  }

  /** Returns the entry to be served next. */
  first(): QueueEntry<T> | undefined {
    return this.nextCaller()?.entries[0];
  }

  /** Removes the entry that `first` returned and charges it to its caller. */
  dequeue(): void {
    const callerQueue = this.nextCaller();
    const entry = callerQueue?.entries.shift();
    if (callerQueue === undefined || entry === undefined) return;
    this.count -= 1;
    this.virtualTime = callerQueue.startTag;
    callerQueue.startTag += costOf(entry) / callerQueue.weight;
    this.removeIfEmpty(callerQueue);
  }

  /** Removes an entry that is not served, without charging its caller. */
  remove(entry: QueueEntry<T>): boolean {
    const callerQueue = this.callerQueues.get(entry.request.caller);
    const index = callerQueue?.entries.indexOf(entry) ?? -1;
    if (callerQueue === undefined || index < 0) return false;
    callerQueue.entries.splice(index, 1);
    this.count -= 1;
    this.removeIfEmpty(callerQueue);
    return true;
  }

  /** Estimates the number of entries served before `entry`, which need not be in the queue. */
  countAhead(entry: QueueEntry<T>): number {
    const { caller, weight } = entry.request;
    const own = this.callerQueues.get(caller);
    const before = own?.entries.filter((other) => precedes(other, entry)) ?? [];
    const cost = before.reduce((sum, other) => sum + costOf(other), 0);
    const start =
      own?.startTag ?? Math.max(this.virtualTime, this.departedStartTags.get(caller) ?? 0);
    const entryTag = start + cost / weight;
    let ahead = before.length;
    this.callerQueues.forEach((callerQueue) => {
      if (callerQueue === own || callerQueue.startTag > entryTag) return;
      ahead += Math.min(
        callerQueue.entries.length,
        Math.floor((entryTag - callerQueue.startTag) * callerQueue.weight) + 1,
      );
    });
    return ahead;
  }

  /** Last entry of the caller with the longest backlog relative to its weight. */
  last(): QueueEntry<T> | undefined {
    let longest: CallerQueue<T> | undefined;
    this.callerQueues.forEach((callerQueue) => {
      const length = callerQueue.entries.length / callerQueue.weight;
      if (longest === undefined || length > longest.entries.length / longest.weight)
        longest = callerQueue;
    });
    return longest?.entries.at(-1);
  }

  entries(): QueueEntry<T>[] {
    return [...this.callerQueues.values()].flatMap((callerQueue) => callerQueue.entries);
  }

  /** Number of waiting entries of `caller` per unit of `weight`. */
  backlogPerWeight(caller: string, weight: number): number {
    return (this.callerQueues.get(caller)?.entries.length ?? 0) / weight;
  }

  private nextCaller(): CallerQueue<T> | undefined {
    let best: CallerQueue<T> | undefined;
    this.callerQueues.forEach((callerQueue) => {
      if (
        best === undefined ||
        callerQueue.startTag < best.startTag ||
        (callerQueue.startTag === best.startTag &&
          precedes(callerQueue.entries[0], best.entries[0]))
      ) {
        best = callerQueue;
      }
    });
    return best;
  }

  private removeIfEmpty(callerQueue: CallerQueue<T>): void {
    if (callerQueue.entries.length > 0) return;
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
