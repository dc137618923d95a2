import { allPartChecks, type PartChecks } from './part-check';

/** Bounds of the runners. */
export interface AttemptSettings {
  /** Attempts for one request, hedges included. */
  readonly maxAttempts: number;
  /** Longest time to the first token of an attempt, in ms. */
  readonly firstTokenTimeoutMs: number;
  /** Longest time without a token after the first, in ms. */
  readonly progressTimeoutMs: number;
  /** Longest time of one attempt at a repeatable service call, in ms; others have the deadline. */
  readonly callTimeoutMs: number;
  /** Time without a first token after which a second attempt starts, in ms; undefined: never. */
  readonly hedgeAfterMs: number | undefined;
  /** Tokens that are held for a slow caller before its stream is held back. */
  readonly maxBufferedTokens: number;
  /** Retry time that an outcome states when nothing better is known, in ms. */
  readonly defaultRetryAfterMs: number;
  /** Checks of received parts; off only in tests of these checks. */
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
