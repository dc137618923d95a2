export interface RetryBudgetSettings {
  /** Retries added for each success. */
  readonly retryRatio: number;
  /** Retries added per second, so that a daemon with little traffic can retry at all. */
  readonly minRetriesPerSecond: number;
  /** Initial balance, and the limit up to which the balance grows with time alone. */
  readonly minRetries: number;
  /** Maximum balance. */
  readonly max: number;
}

export const defaultRetryBudgetSettings: RetryBudgetSettings = {
  retryRatio: 0.1,
  minRetriesPerSecond: 1,
  minRetries: 10,
  max: 100,
};

/**
 * Token bucket that limits the retries and hedges of a daemon to a share of its successes, so that
 * retries do not multiply the load on endpoints that fail because of overload.
 */
export class RetryBudget {
  private balance: number;

  private updatedAt: number | undefined;

  private constructor(private readonly settings: RetryBudgetSettings) {
    this.balance = settings.minRetries;
  }

  static create(settings: Partial<RetryBudgetSettings> = {}): RetryBudget {
    return new RetryBudget({ ...defaultRetryBudgetSettings, ...settings });
  }

  /** Number of retries that can be withdrawn at `now`. */
  available(now: number): number {
    this.refill(now);
    return Math.floor(this.balance);
  }

  /** Credits a success. */
  deposit(now: number): void {
    this.refill(now);
    this.balance = Math.min(this.settings.max, this.balance + this.settings.retryRatio);
  }

  /** Withdraws one retry; returns false if the balance is below one. */
  withdraw(now: number): boolean {
    this.refill(now);
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }

  /** Returns a withdrawn retry that was not used. */
  refund(now: number): void {
    this.refill(now);
    this.balance = Math.min(this.settings.max, this.balance + 1);
  }

  private refill(now: number): void {
    const { minRetries: floor, minRetriesPerSecond: floorPerSecond } = this.settings;
    const elapsed = Math.max(0, now - (this.updatedAt ?? now));
    this.updatedAt = now;
    if (this.balance >= floor) return;
    this.balance = Math.min(floor, this.balance + (elapsed / 1000) * floorPerSecond);
  }
}
