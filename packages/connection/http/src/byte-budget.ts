/** Bytes that the answers being read may hold together. */
export class ByteBudget {
  private used = 0;

  private constructor(readonly limitBytes: number) {}

  static create(limitBytes: number): ByteBudget {
    return new ByteBudget(limitBytes);
  }

  /** Takes `bytes`; false if they are not to be had. */
  take(bytes: number): boolean {
    if (this.used + bytes > this.limitBytes) return false;
    this.used += bytes;
    return true;
  }

  giveBack(bytes: number): void {
    this.used -= bytes;
  }
}
