import type { Random } from '@currantdrift/core';

/** Fractional part of the golden ratio: its multiples, modulo 1, are evenly spread at any count. */
const goldenStep = (Math.sqrt(5) - 1) / 2;

/** Lower bounds of the time over which retries are spread. */
export interface RetrySpreadSettings {
  /** Minimum of the spread, in ms. */
  readonly minRetrySpreadMs: number;
  /** Minimum of the spread, as a share of the time left until retries may succeed. */
  readonly retrySpreadShare: number;
}

/**
 * Spreads the retries of clients that are refused until the same moment evenly over the time after it.
 * Consecutive refusals get offsets of an additive recurrence; independent random offsets would cluster.
 */
export class RetrySpread {
  private constructor(
    private readonly settings: RetrySpreadSettings,
    private offset: number,
  ) {}

  /** `random` chooses the first offset, so that processes do not send their clients back in step. */
  static create(settings: RetrySpreadSettings, random: Random): RetrySpread {
    return new RetrySpread(settings, random.next());
  }

  /** Time after which the next refused client may retry, in ms, if retries may succeed in `leftMs`. */
  next(leftMs: number): number {
    const { minRetrySpreadMs, retrySpreadShare } = this.settings;
    this.offset = (this.offset + goldenStep) % 1;
    const spreadMs = Math.max(minRetrySpreadMs, leftMs * retrySpreadShare);
    return Math.max(0, leftMs) + this.offset * spreadMs;
  }
}
