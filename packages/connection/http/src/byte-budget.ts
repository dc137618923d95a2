/** Bytes that the answers being read may hold together. */
export class ByteBudget {
  private reservedBytes = 0;

  private constructor(readonly limitBytes: number) {}

  static create(limitBytes: number): ByteBudget {
    return new ByteBudget(limitBytes);
  }

  /** Takes `bytes`; false if they are not to be had. */
  tryReserve(bytes: number): boolean {
    if (this.reservedBytes + bytes > this.limitBytes) return false;
    this.reservedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.reservedBytes -= bytes;
  }
}
