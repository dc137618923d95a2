/** Connections between a daemon and the store, the host list and endpoints, by pairs of names. */
export class Links {
  private readonly cuts = new Set<string>();

  private readonly lines = new Map<string, AbortController>();

  isCut(a: string, b: string): boolean {
    return this.cuts.has(Links.key(a, b));
  }

  /** Cuts a pair; false if it is cut already. */
  cut(a: string, b: string): boolean {
    if (this.isCut(a, b)) return false;
    this.cuts.add(Links.key(a, b));
    this.silence(a, b);
    return true;
  }

  /** Heals a pair; false if it is not cut. */
  heal(a: string, b: string): boolean {
    return this.cuts.delete(Links.key(a, b));
  }

  /** Makes the calls under way between a pair silent for good; new calls work. */
  silence(a: string, b: string): void {
    this.lines.get(Links.key(a, b))?.abort();
    this.lines.delete(Links.key(a, b));
  }

  /** Aborts when the calls that are started now go silent. */
  line(a: string, b: string): AbortSignal {
    const key = Links.key(a, b);
    const line = this.lines.get(key) ?? new AbortController();
    this.lines.set(key, line);
    return line.signal;
  }

  private static key(a: string, b: string): string {
    return [a, b].sort().join(' ');
  }
}
