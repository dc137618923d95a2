import { allPartChecks, type PartChecks } from './part-check';

/** Limits of `generate` and `callService`. */
export interface AttemptSettings {
  /** Maximum number of attempts per request, including hedges. */
  readonly maxAttempts: number;
  /** Maximum time to the first token of an attempt, in ms. */
  readonly firstTokenTimeoutMs: number;
  /** Maximum time between tokens after the first, in ms. */
  readonly progressTimeoutMs: number;
  /** Timeout of each attempt at a repeatable service call, in ms; other calls use the deadline. */
  readonly callTimeoutMs: number;
  /** Time without a first token after which a hedge starts, in ms; undefined disables hedging. */
  readonly hedgeAfterMs: number | undefined;
  /** Tokens buffered for a slow caller before reading from the endpoint is paused. */
  readonly maxBufferedTokens: number;
  /** `retryAfterMs` of an outcome if no failure states one, in ms. */
  readonly defaultRetryAfterMs: number;
  /** Checks of received parts; disabled only in tests of these checks. */
  readonly checks: PartChecks;
}

export const defaultAttemptSettings: AttemptSettings = {
  maxAttempts: 6,
  firstTokenTimeoutMs: 5_000,
  progressTimeoutMs: 2_000,
  callTimeoutMs: 5_000,
  hedgeAfterMs: undefined,
  maxBufferedTokens: 256,
  defaultRetryAfterMs: 1_000,
  checks: allPartChecks,
};
