import type { AdmissionRequest } from './request';
import type { QueueEntry } from './queue-entry';

/** Waiting entries in the order of a time of each; entries with the same time in order of arrival. */
export class SortedEntries<T, R extends AdmissionRequest> {
  private readonly entries: QueueEntry<T, R>[] = [];

  private constructor(private readonly timeOf: (request: R) => number) {}

  static create<T, R extends AdmissionRequest>(
    timeOf: (request: R) => number,
  ): SortedEntries<T, R> {
    return new SortedEntries(timeOf);
  }

  get size(): number {
    return this.entries.length;
  }

  get all(): readonly QueueEntry<T, R>[] {
    return this.entries;
  }

  first(): QueueEntry<T, R> | undefined {
    return this.entries[0];
  }

  insert(entry: QueueEntry<T, R>): void {
    this.entries.splice(this.countBefore(entry), 0, entry);
  }

  shift(): QueueEntry<T, R> | undefined {
    return this.entries.shift();
  }

  /** Returns false if the entry is not in the list. */
  remove(entry: QueueEntry<T, R>): boolean {
    const index = this.countBefore(entry);
    if (this.entries[index] !== entry) return false;
    this.entries.splice(index, 1);
    return true;
  }

  /** Number of entries that precede `entry`, which need not be in the list. */
  countBefore(entry: QueueEntry<T, R>): number {
    let low = 0;
    let high = this.entries.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (this.precedes(this.entries[middle], entry)) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  private precedes(a: QueueEntry<T, R>, b: QueueEntry<T, R>): boolean {
    const difference = this.timeOf(a.request) - this.timeOf(b.request);
    return difference < 0 || (difference === 0 && a.sequence < b.sequence);
  }
}
