/** A map that drops its least recently set entries above a maximum size. */
export class BoundedMap<T> {
  private readonly entries = new Map<string, T>();

  private constructor(private readonly maxSize: number) {}

  static create<T>(maxSize: number): BoundedMap<T> {
    return new BoundedMap<T>(maxSize);
  }

  get(key: string): T | undefined {
    return this.entries.get(key);
  }

  set(key: string, value: T): void {
    this.entries.delete(key);
    this.entries.set(key, value);
    if (this.entries.size <= this.maxSize) return;
    const [oldest] = this.entries.keys();
    this.entries.delete(oldest);
  }

  delete(key: string): void {
    this.entries.delete(key);
  }

  /** Keys and values, least recently set first. */
  all(): [string, T][] {
    return [...this.entries];
  }
}
