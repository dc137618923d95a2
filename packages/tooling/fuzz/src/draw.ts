import { type Random, SeededRandom } from '@currantdrift/core';

/** Random choices from one seed. */
export class Draw {
  private constructor(private readonly random: Random) {}

  static create(seed: number): Draw {
    return new Draw(SeededRandom.create(seed));
  }

  /** A whole number from `least` to `most`, both included. */
  between(least: number, most: number): number {
    return least + Math.floor(this.random.next() * (most - least + 1));
  }

  /** True with the given probability. */
  chance(probability: number): boolean {
    return this.random.next() < probability;
  }

  /** One of the values; there must be at least one. */
  pick<T>(values: readonly T[]): T {
    return values[this.between(0, values.length - 1)];
  }
}
