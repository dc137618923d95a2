/** Cost of one item under the optimal offline policy, which knows all arrivals in advance. */
export interface ClairvoyantBound {
  /** Time for which the item is loaded but serves no request, in ms. */
  readonly idleMs: number;
  readonly coldStarts: number;
}

/**
 * Lower bound on idle time for an item whose requests arrive at `arrivals` (ms, ascending) and take
 * `serviceMs`. In each gap the item either stays loaded, or is unloaded and loaded again just
 * before the next request, which costs the load time `coldMs`. The first load also completes just
 * before the first request, so there are no cold starts.
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
