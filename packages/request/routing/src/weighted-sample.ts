import type { Random } from '@currantdrift/core';

/**
 * Draws `size` different items at random, each with a probability in proportion to its weight; all
 * items if there are no more.
 */
export const weightedSample = <T>(
  items: readonly T[],
  size: number,
  weightOf: (item: T) => number,
  random: Random,
): readonly T[] => {
  if (items.length <= size) return items;
  const left = items.map((item) => ({ item, weight: Math.max(1, weightOf(item)) }));
  let total = left.reduce((sum, { weight }) => sum + weight, 0);
  return Array.from({ length: size }, () => {
    let rest = random.next() * total;
    const index = left.findIndex(({ weight }) => {
      rest -= weight;
      return rest < 0;
    });
    // Rounding may leave a rest at the end.
    const [taken] = left.splice(index, 1);
    total -= taken.weight;
    return taken.item;
  });
};
