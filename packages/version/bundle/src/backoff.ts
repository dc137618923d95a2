import type { Random } from '@currantdrift/core';

const firstMs = 100;
const longestMs = 5_000;

/** Delay before attempt number `attempt + 1`, in ms: exponential up to 5 s, half of it random. */
export const backoffMs = (attempt: number, random: Random): number => {
  const full = Math.min(longestMs, firstMs * 2 ** Math.min(attempt - 1, 10));
  return Math.round(full / 2 + (random.next() * full) / 2);
};
