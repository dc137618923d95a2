export interface RetryBudgetSettings {
  /** Retries earned by each success. */
  readonly retryRatio: number;
  /** Retries earned by each second, so that a daemon with little traffic can retry at all. */
  readonly minRetriesPerSecond: number;
  /** Retries that are available at the start and that time alone may accumulate. */
  readonly minRetries: number;
  /** Retries that may be saved up. */
  readonly max: number;
}

export const defaultRetryBudgetSettings: RetryBudgetSettings = {
  retryRatio: 0.1,
  minRetriesPerSecond: 1,
  minRetries: 10,
  max: 100,
};

/**
 * Bounds retries and hedges of a daemon to a share of its successes, so that retries do not
 * multiply the load on endpoints that fail because of load.
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

  /** Retries available now. */
  available(now: number): number {
    this.refill(now);
    return Math.floor(this.balance);
  }

  /** Counts a success. */
  deposit(now: number): void {
    this.refill(now);
    this.balance = Math.min(this.settings.max, this.balance + this.settings.retryRatio);
  }

  /** Takes one retry; false if there is none. */
  withdraw(now: number): boolean {
    this.refill(now);
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }

  /** Gives back a retry that was not used. */
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
