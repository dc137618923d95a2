/** Quantile of the last values of a series. */
export class MovingQuantile {
  private readonly values: number[] = [];

  private next = 0;

  private constructor(
    private readonly rank: number,
    private readonly length: number,
  ) {}

  /** `rank` is between 0 and 1; `length` is the number of values that are kept. */
  static create(rank: number, length: number): MovingQuantile {
    return new MovingQuantile(rank, length);
  }

  /** Number of values that are kept at present. */
  get count(): number {
    return this.values.length;
  }

  /** The quantile; undefined before the first value. */
  get value(): number | undefined {
    const sorted = [...this.values].sort((one, other) => one - other);
    return sorted[Math.floor(this.rank * (sorted.length - 1))];
  }

  /** Adds a value in place of the oldest one. */
  record(value: number): void {
    this.values[this.next] = value;
    this.next = (this.next + 1) % this.length;
  }
}
