import { hash32 } from '@currantdrift/core';

/**
 * Engines, as a fraction of all, on which an item may be loaded without a record in a store
 * outage. A successor must hear from those engines before it loads the item elsewhere, so a
 * larger fraction lets one dead engine block more items after a takeover.
 */
const outageFraction = 0.5;

/** Tells whether a store outage permits loading `item` (name without version) on `engine`. */
export const permitsUnrecordedLoad = (engine: string, item: string): boolean =>
  hash32(`${engine}\u0000${item}`) < outageFraction * 2 ** 32;
