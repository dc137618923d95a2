/** Time beyond which a call that has not been answered counts as a failure of the store, in ms. */
const lateMs = 300;

/** A call to the store that this process has begun. */
export interface StoreCall {
  /** Time at which the answer is due, in ms. */
  readonly dueAt: number;
}

/** The calls of this process to the store, and whether the store failed to answer them. */
export class StoreCalls {
  private readonly open = new Set<StoreCall>();

  private failedAt = -Infinity;

  private constructor() {}

  static create(): StoreCalls {
    return new StoreCalls();
  }

  begin(dueAt: number): StoreCall {
    const call = { dueAt };
    this.open.add(call);
    return call;
  }

  end(call: StoreCall, hasFailed: boolean, now: number): void {
    this.open.delete(call);
    if (hasFailed || now > call.dueAt + lateMs) this.failedAt = now;
  }

  /** Whether the store failed to answer a call in time since `since`, or does so now. */
  hasFailedSince(since: number, now: number): boolean {
    return this.failedAt > since || [...this.open].some(({ dueAt }) => now > dueAt + lateMs);
  }
}
