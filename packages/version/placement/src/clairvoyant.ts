/** What the best policy that knows all arrivals in advance achieves for one item. */
export interface ClairvoyantBound {
  /** Time loaded without use, in ms. */
  readonly idleMs: number;
  readonly coldStarts: number;
}

/**
 * Lower bound for an item whose requests arrive at `arrivals` (ms, ascending) and take
 * `serviceMs`. Each gap is either spent loaded, or the item is unloaded and loaded again just
 * before the next request, which costs the load's own time; so no request but one that nothing
 * precedes needs a cold start.
 */
export const clairvoyantBound = (
  arrivals: readonly number[],
  serviceMs: number,
  coldMs: number,
): ClairvoyantBound =>
  arrivals.reduce<ClairvoyantBound>(
    ({ idleMs, coldStarts }, at, index) => {
      if (index === 0) return { idleMs: idleMs + coldMs, coldStarts };
      const gap = Math.max(0, at - (arrivals[index - 1] + serviceMs));
      return { idleMs: idleMs + Math.min(gap, coldMs), coldStarts };
    },
    { idleMs: 0, coldStarts: 0 },
  );
