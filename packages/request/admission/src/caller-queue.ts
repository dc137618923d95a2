import type { QueueEntry } from './queue-entry';
import type { AdmissionRequest } from './request';
import { SortedEntries } from './sorted-entries';

const costOf = <T, R extends AdmissionRequest>(entry: QueueEntry<T, R>): number =>
  entry.request.cost ?? 1;

const targetOf = ({ target, deadline }: AdmissionRequest): number => target ?? deadline;

const isLate = ({ target = Infinity }: AdmissionRequest, now: number): boolean => target < now;

/**
 * Waiting entries of one caller at one priority. Entries whose target can still be met come first,
 * in order of their targets, then the others in order of their deadlines.
 */
export class CallerQueue<T, R extends AdmissionRequest> {
  private readonly onTime = SortedEntries.create<T, R>(targetOf);

  private readonly late = SortedEntries.create<T, R>(({ deadline }) => deadline);

  /** Sum of the costs of all entries. */
  private cost = 0;

  private constructor(
    readonly caller: string,
    public weight: number,
    /** Start tag of the caller's next entry, in virtual time. */
    public startTag: number,
  ) {}

  static create<T, R extends AdmissionRequest>(
    caller: string,
    weight: number,
    startTag: number,
  ): CallerQueue<T, R> {
    return new CallerQueue(caller, weight, startTag);
  }

  get size(): number {
    return this.onTime.size + this.late.size;
  }

  add(entry: QueueEntry<T, R>, now: number): void {
    (isLate(entry.request, now) ? this.late : this.onTime).insert(entry);
    this.cost += costOf(entry);
  }

  first(now: number): QueueEntry<T, R> | undefined {
    this.moveLate(now);
    return this.onTime.first() ?? this.late.first();
  }

  /** Removes the first entry and charges it to the caller. */
  shift(now: number): QueueEntry<T, R> | undefined {
    const entry = this.first(now);
    if (entry === undefined) return undefined;
    this.remove(entry);
    this.startTag += costOf(entry) / this.weight;
    return entry;
  }

  /** The entry that is served last. */
  last(): QueueEntry<T, R> | undefined {
    return this.late.all.at(-1) ?? this.onTime.all.at(-1);
  }

  remove(entry: QueueEntry<T, R>): boolean {
    if (!this.onTime.remove(entry) && !this.late.remove(entry)) return false;
    this.cost -= costOf(entry);
    return true;
  }

  /** Number of entries that are served before `entry`, which need not be in the queue. */
  countBefore(entry: QueueEntry<T, R>, now: number): number {
    this.moveLate(now);
    return isLate(entry.request, now)
      ? this.onTime.size + this.late.countBefore(entry)
      : this.onTime.countBefore(entry);
  }

  /** Estimated cost of the first `count` entries: their share of the cost of all. */
  costOfFirst(count: number): number {
    return count === 0 ? 0 : (this.cost * count) / this.size;
  }

  /** Moves each entry at most once, so that its cost per entry does not grow with the queue. */
  private moveLate(now: number): void {
    for (
      let entry = this.onTime.first();
      entry !== undefined && isLate(entry.request, now);
      entry = this.onTime.first()
    ) {
      this.onTime.shift();
      this.late.insert(entry);
    }
  }
}
