/** A response that is being read, and the bytes that it holds. */
export interface HeldBytes {
  /** Holds `bytes` more; returns false, holding none of them, if the response has to be abandoned. */
  tryAdd(bytes: number): boolean;
  release(): void;
}

interface Holder {
  size: number;
  readonly onEvicted: () => void;
}

/**
 * Limit on the total size of the responses that are being read. If it is exceeded, the largest response is
 * abandoned: a server that sends without end must not cost other servers' answers.
 */
export class ByteBudget {
  private heldBytes = 0;

  private readonly holders = new Set<Holder>();

  private constructor(readonly limitBytes: number) {}

  static create(limitBytes: number): ByteBudget {
    return new ByteBudget(limitBytes);
  }

  /** Total size of the responses that are being read, in bytes. */
  get totalBytes(): number {
    return this.heldBytes;
  }

  /** Begins to count a response; `onEvicted` abandons it in favour of smaller ones. */
  hold(onEvicted: () => void): HeldBytes {
    const holder = { size: 0, onEvicted };
    this.holders.add(holder);
    return {
      tryAdd: (bytes) => this.tryAdd(holder, bytes),
      release: () => this.remove(holder),
    };
  }

  private tryAdd(holder: Holder, bytes: number): boolean {
    if (!this.holders.has(holder)) return false;
    while (this.heldBytes + bytes > this.limitBytes) {
      const largest = this.largestAbove(holder.size + bytes);
      if (largest === undefined) return false;
      this.remove(largest);
      largest.onEvicted();
    }
    Object.assign(holder, { size: holder.size + bytes });
    this.heldBytes += bytes;
    return true;
  }

  private largestAbove(size: number): Holder | undefined {
    return [...this.holders].reduce<Holder | undefined>(
      (largest, holder) => (holder.size > (largest?.size ?? size) ? holder : largest),
      undefined,
    );
  }

  private remove(holder: Holder): void {
    if (this.holders.delete(holder)) this.heldBytes -= holder.size;
  }
}
