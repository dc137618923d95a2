/** Values that one task hands to another. The iteration ends after `end`. */
export class Arrivals<T> implements AsyncIterable<T> {
  private values: T[] = [];

  private ended = false;

  private wake: (() => void) | undefined;

  push(value: T): void {
    if (this.ended) return;
    this.values.push(value);
    this.signal();
  }

  /** Ends the iteration after the values that are already there. */
  end(): void {
    this.ended = true;
    this.signal();
  }

  /** Ends the iteration at once. */
  drop(): void {
    this.values = [];
    this.end();
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<T> {
    for (;;) {
      const { values } = this;
      this.values = [];
      for (const value of values) yield value;
      if (this.values.length === 0) {
        if (this.ended) return;
        await new Promise<void>((resolve) => {
          this.wake = resolve;
        });
      }
    }
  }

  private signal(): void {
    const { wake } = this;
    this.wake = undefined;
    wake?.();
  }
}
