import type { Entry } from './queue-entry';

/** Waiting entries of one caller at one priority, earliest deadline first. */
interface Lane<T> {
  readonly caller: string;
  weight: number;
  /** Virtual time at which the caller's next entry is due. */
  due: number;
  readonly entries: Entry<T>[];
}

const costOf = <T>(entry: Entry<T>): number => entry.request.cost ?? 1;

const precedes = <T>(a: Entry<T>, b: Entry<T>): boolean =>
  a.request.deadline < b.request.deadline ||
  (a.request.deadline === b.request.deadline && a.sequence < b.sequence);

/**
 * Waiting entries of one priority. The caller with the smallest virtual time is served next
 * (start-time fair queueing): each service moves its time on by cost / weight. A caller that
 * comes back starts at the present virtual time, so that idle time earns no credit.
 */
export class Line<T> {
  private readonly lanes = new Map<string, Lane<T>>();

  /** Due times of callers that left less than one entry's worth of virtual time ago. */
  private readonly departed = new Map<string, number>();

  private virtual = 0;

  private count = 0;

  private constructor() {}

  static create<T>(): Line<T> {
    return new Line<T>();
  }

  get size(): number {
    return this.count;
  }

  add(entry: Entry<T>): void {
    const { caller, weight } = entry.request;
    let lane = this.lanes.get(caller);
    if (lane === undefined) {
      const due = Math.max(this.virtual, this.departed.get(caller) ?? 0);
      lane = { caller, weight, due, entries: [] };
      this.lanes.set(caller, lane);
      this.departed.delete(caller);
    }
    lane.weight = weight;
    let index = lane.entries.length;
    while (index > 0 && precedes(entry, lane.entries[index - 1])) index -= 1;
    lane.entries.splice(index, 0, entry);
    this.count += 1;
  }

  /** The entry to be served next. */
  first(): Entry<T> | undefined {
    return this.next()?.entries[0];
  }

  /** Takes out the entry that `first` gave, because it is served. */
  serve(): void {
    const lane = this.next();
    const entry = lane?.entries.shift();
    if (lane === undefined || entry === undefined) return;
    this.count -= 1;
    this.virtual = lane.due;
    lane.due += costOf(entry) / lane.weight;
    this.leaveIfEmpty(lane);
  }

  /** Takes out an entry that is not served; the caller's share is not charged. */
  remove(entry: Entry<T>): boolean {
    const lane = this.lanes.get(entry.request.caller);
    const index = lane?.entries.indexOf(entry) ?? -1;
    if (lane === undefined || index < 0) return false;
    lane.entries.splice(index, 1);
    this.count -= 1;
    this.leaveIfEmpty(lane);
    return true;
  }

  /** Number of entries that are served before `entry`, which need not be in the line. */
  ahead(entry: Entry<T>): number {
    const { caller, weight } = entry.request;
    const own = this.lanes.get(caller);
    const before = own?.entries.filter((other) => precedes(other, entry)) ?? [];
    const cost = before.reduce((sum, other) => sum + costOf(other), 0);
    const start = own?.due ?? Math.max(this.virtual, this.departed.get(caller) ?? 0);
    const due = start + cost / weight;
    let ahead = before.length;
    this.lanes.forEach((lane) => {
      if (lane === own || lane.due > due) return;
      ahead += Math.min(lane.entries.length, Math.floor((due - lane.due) * lane.weight) + 1);
    });
    return ahead;
  }

  /** The last entry of the caller whose backlog is longest for its weight. */
  last(): Entry<T> | undefined {
    let longest: Lane<T> | undefined;
    this.lanes.forEach((lane) => {
      const length = lane.entries.length / lane.weight;
      if (longest === undefined || length > longest.entries.length / longest.weight) longest = lane;
    });
    return longest?.entries.at(-1);
  }

  entries(): Entry<T>[] {
    return [...this.lanes.values()].flatMap((lane) => lane.entries);
  }

  /** Entries of `caller` for each unit of `weight`. */
  backlog(caller: string, weight: number): number {
    return (this.lanes.get(caller)?.entries.length ?? 0) / weight;
  }

  private next(): Lane<T> | undefined {
    let best: Lane<T> | undefined;
    this.lanes.forEach((lane) => {
      if (
        best === undefined ||
        lane.due < best.due ||
        (lane.due === best.due && precedes(lane.entries[0], best.entries[0]))
      ) {
        best = lane;
      }
    });
    return best;
  }

  private leaveIfEmpty(lane: Lane<T>): void {
    if (lane.entries.length > 0) return;
    this.lanes.delete(lane.caller);
    this.departed.forEach((due, caller) => {
      if (due <= this.virtual) this.departed.delete(caller);
    });
    if (this.lanes.size === 0) {
      // An empty line has no backlog to share.
      this.virtual = 0;
      this.departed.clear();
    } else if (lane.due > this.virtual) {
      this.departed.set(lane.caller, lane.due);
    }
  }
}
