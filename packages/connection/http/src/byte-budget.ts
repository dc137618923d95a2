/** Something that occupies memory on behalf of a peer, and the bytes that it holds. */
export interface HeldBytes {
  /** Bytes that it holds. */
  readonly size: number;
  /** Holds `bytes` more; returns false, holding none of them, if the holder has to be abandoned. */
  tryAdd(bytes: number, now?: number): boolean;
  /** Holds `size` bytes in all; returns false, without a change, if the holder has to be abandoned. */
  resize(size: number, now?: number): boolean;
  /** Notes progress that does not change the size. */
  touch(now?: number): void;
  /** While pinned it is not abandoned, because it does not wait for its peer. */
  pin(pinned: boolean): void;
  release(): void;
}

interface Holder {
  size: number;
  isPinned: boolean;
  /** Time of the last change of its size, in ms of the steady clock. */
  changedAt: number;
  readonly onShed: () => void;
}

/** Time without a change after which a holder counts as stalled, in ms. */
const stallMs = 1_000;

/**
 * Limit on the total memory that peers occupy: requests and responses that are being read, and responses
 * that wait for a slow reader. If it is exceeded, stalled holders are abandoned first, the largest before
 * smaller ones, then holders larger than the one that needs memory: a peer that sends without end or
 * stops reading must not cost the others' requests.
 */
export class ByteBudget {
  private heldBytes = 0;

  private readonly holders = new Set<Holder>();

  private constructor(readonly limitBytes: number) {}

  static create(limitBytes: number): ByteBudget {
    return new ByteBudget(limitBytes);
  }

  /** Total size of what is held, in bytes. */
  get totalBytes(): number {
    return this.heldBytes;
  }

  /** Begins to count a holder; `onEvicted` abandons it in favour of others. */
  hold(onEvicted: () => void): HeldBytes {
    const holder: Holder = {
      size: 0,
      isPinned: false,
      changedAt: performance.now(),
      onShed: onEvicted,
    };
    this.holders.add(holder);
    return {
      get size() {
        return holder.size;
      },
      tryAdd: (bytes, now) => this.resize(holder, holder.size + bytes, now),
      resize: (size, now) => this.resize(holder, size, now),
      touch: (now = performance.now()) => {
        holder.changedAt = now;
      },
      pin: (pinned) => {
        holder.isPinned = pinned;
      },
      release: () => this.remove(holder),
    };
  }

  private resize(holder: Holder, size: number, now = performance.now()): boolean {
    if (!this.holders.has(holder)) return false;
    const added = size - holder.size;
    while (added > 0 && this.heldBytes + added > this.limitBytes) {
      const victim = this.holderToShed(holder, size, now);
      if (victim === undefined) return false;
      this.remove(victim);
      victim.onShed();
    }
    // A holder whose size stays the same makes no progress.
    if (added !== 0) Object.assign(holder, { size, changedAt: now });
    this.heldBytes += added;
    return true;
  }

  /** The holder to abandon for `asking`, which is to hold `size` bytes. */
  private holderToShed(asking: Holder, size: number, now: number): Holder | undefined {
    const others = [...this.holders].filter(
      (holder) => holder !== asking && !holder.isPinned && holder.size > 0,
    );
    const stalled = others.filter(({ changedAt }) => now - changedAt >= stallMs);
    const candidates = stalled.length > 0 ? stalled : others.filter((other) => other.size > size);
    return candidates.reduce<Holder | undefined>(
      (largest, holder) => (holder.size > (largest?.size ?? 0) ? holder : largest),
      undefined,
    );
  }

  private remove(holder: Holder): void {
    if (this.holders.delete(holder)) this.heldBytes -= holder.size;
  }
}
