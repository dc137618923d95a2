import type { Random } from './random';

/** Reproducible pseudorandom numbers (mulberry32). */
export class SeededRandom implements Random {
  private constructor(private state: number) {}

  static create(seed: number): SeededRandom {
    return new SeededRandom(seed);
  }

  /* eslint-disable no-bitwise -- the generator is defined on 32-bit words */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) | 0;
    let word = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state);
    word ^= word + Math.imul(word ^ (word >>> 7), 61 | word);
    return ((word ^ (word >>> 14)) >>> 0) / 2 ** 32;
  }
  /* eslint-enable no-bitwise */
}
