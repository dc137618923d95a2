/** Decides how long idle items stay loaded and which items are preloaded. */
export interface KeepWarmPolicy {
  /** Records a request for the item at `now` (ms since the Unix epoch). */
  touch(item: string, now: number): void;
  /** Time until which the loaded item is kept if no further request arrives. */
  keepUntil(item: string, now: number): number;
  /** Time at which to start preloading the item; undefined if it should not be preloaded. */
  preloadAt(item: string, now: number): number | undefined;
  /** Expected cost per hour, in the unit of the prices, that keeping the item loaded saves. */
  value(item: string, now: number): number;
  /** Serializes the learned state in compact form, for `restore`. */
  snapshot(now: number): string;
  /** Restores a snapshot; an invalid one is ignored. */
  restore(snapshot: string, now: number): void;
}
