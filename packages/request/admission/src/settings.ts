/** Limits and constants of an admission queue. */
export interface AdmissionSettings {
  /** Entries that may wait at once. */
  readonly maxWaiting: number;
  /** Entries of one caller that may wait at once. */
  readonly maxPerCaller: number;
  /** Refuse if the estimated wait exceeds the time left. Disabled only to test this protection. */
  readonly earlyRefusal: boolean;
  /**
   * Whether the number of running entries shows the rate of service while there are few grants under
   * backlog. It does not where others use the same endpoints.
   */
  readonly rateFromRunning: () => boolean;
  /** Waiting entries that are checked at once for those that can no longer be served in time. */
  readonly reviewSize: number;
  /** Time constant of the measured rates, in ms. */
  readonly rateTimeConstantMs: number;
  /** Shortest `retryAfterMs` of a refusal, and its value while the rate is unknown. */
  readonly minRetryAfterMs: number;
  readonly defaultRetryAfterMs: number;
  /** Longest `retryAfterMs` of a refusal; estimates further ahead are not reliable. */
  readonly maxRetryAfterMs: number;
}

export const defaultAdmissionSettings: AdmissionSettings = {
  maxWaiting: 256,
  maxPerCaller: 64,
  earlyRefusal: true,
  rateFromRunning: () => true,
  reviewSize: 256,
  rateTimeConstantMs: 5_000,
  minRetryAfterMs: 50,
  defaultRetryAfterMs: 1_000,
  maxRetryAfterMs: 60_000,
};
