/** Bounds and constants of an admission queue. */
export interface AdmissionSettings {
  /** Entries that may wait at once. */
  readonly maxWaiting: number;
  /** Entries of one caller that may wait at once. */
  readonly maxPerCaller: number;
  /** Refuse when the estimated wait exceeds the time left. Off only in tests of this protection. */
  readonly earlyRefusal: boolean;
  /** Time constant of the observed rates, in ms. */
  readonly memoryMs: number;
  /** Shortest and default retry time, in ms. */
  readonly minRetryAfterMs: number;
  readonly defaultRetryAfterMs: number;
  /** Longest retry time, in ms; the estimate is worthless further ahead. */
  readonly maxRetryAfterMs: number;
}

export const defaultAdmissionSettings: AdmissionSettings = {
  maxWaiting: 256,
  maxPerCaller: 64,
  earlyRefusal: true,
  memoryMs: 5_000,
  minRetryAfterMs: 50,
  defaultRetryAfterMs: 1_000,
  maxRetryAfterMs: 60_000,
};
