/** Limit on the total size of the responses that are being read. */
export class ByteBudget {
  private reservedBytes = 0;

  private constructor(readonly limitBytes: number) {}

  static create(limitBytes: number): ByteBudget {
    return new ByteBudget(limitBytes);
  }

  /** Reserves `bytes`; returns false, reserving nothing, if that would exceed the limit. */
  tryReserve(bytes: number): boolean {
    if (this.reservedBytes + bytes > this.limitBytes) return false;
    this.reservedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.reservedBytes -= bytes;
  }
}
