/** Values that one task hands to another. */
export class Arrivals<T> {
  private values: T[] = [];

  private place = 0;

  private ended = false;

  private wake: (() => void) | undefined;

  get isEnded(): boolean {
    return this.ended && this.place === this.values.length;
  }

  push(value: T): void {
    if (this.ended) return;
    this.values.push(value);
    this.signal();
  }

  /** Nothing comes after the values that are already there. */
  end(): void {
    this.ended = true;
    this.signal();
  }

  /** Drops the values that are there, too. */
  drop(): void {
    this.values = [];
    this.place = 0;
    this.end();
  }

  /** The next value; undefined if none is there now. */
  take(): T | undefined {
    if (this.place === this.values.length) {
      this.values = [];
      this.place = 0;
      return undefined;
    }
    const value = this.values[this.place];
    this.place += 1;
    return value;
  }

  /** Resolves when there may be another value or the end. For one waiting task. */
  changed(): Promise<void> {
    if (this.ended || this.place < this.values.length) return Promise.resolve();
    return new Promise((resolve) => {
      this.wake = resolve;
    });
  }

  private signal(): void {
    const { wake } = this;
    this.wake = undefined;
    wake?.();
  }
}
