/** Source of random numbers. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
}

/** Random numbers from `Math.random`. */
export class SystemRandom implements Random {
  private constructor() {}

  static create(): SystemRandom {
    return new SystemRandom();
  }

  next(): number {
    return Math.random();
  }
}
