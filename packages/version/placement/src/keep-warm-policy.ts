/** Decides how long idle items stay loaded and which are loaded ahead of use. */
export interface KeepWarmPolicy {
  /** Notes that a request for the item arrived at `now` (ms since the epoch). */
  touch(item: string, now: number): void;
  /** Time until which the loaded item is kept if no request arrives before. */
  keepUntil(item: string, now: number): number;
  /** Time at which the item should begin to load ahead of use; undefined if it should not. */
  preloadAt(item: string, now: number): number | undefined;
  /** Expected cost, in the unit of the prices, that having the item loaded saves per hour. */
  value(item: string, now: number): number;
  /** Compact copy of what was learnt, for `restore`. */
  snapshot(now: number): string;
  /** Takes over a copy; a copy that cannot be read is ignored. */
  restore(snapshot: string, now: number): void;
}
