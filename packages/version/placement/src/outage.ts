import { hash32 } from '@currantdrift/core';

/**
 * Fraction of all engines on which an item may be loaded during a store outage without a recorded
 * intent. A successor needs reports from those engines before it loads the item elsewhere, so with
 * a larger fraction one dead engine blocks more items after a takeover.
 */
const outageFraction = 0.5;

/** Tells whether `item` (name without version) may be loaded on `engine` during a store outage. */
export const permitsUnrecordedLoad = (engine: string, item: string): boolean =>
  hash32(`${engine}\u0000${item}`) < outageFraction * 2 ** 32;
