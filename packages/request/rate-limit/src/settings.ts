/** Parameters of the division of an endpoint's limit among daemons. */
export interface RateLimitSettings {
  /** Part of a limit that the issuer hands out. */
  readonly issuedShare: number;
  /**
   * Part of a limit that is divided among all members, for the time in which they cannot reach the
   * issuer. Both parts together must not exceed 1.
   */
  readonly memberShare: number;
  /** Time whose permits may be used at once after a time without calls, in ms. */
  readonly burstMs: number;
  /** Longest time for which a permit is reserved ahead, in ms. */
  readonly maxReservationMs: number;
  /**
   * Lowest rate at which calls are sent, in calls per second. An endpoint that takes no requests at all
   * can state the end of its limit only in an answer.
   */
  readonly minRatePerS: number;
}

export const defaultRateLimitSettings: RateLimitSettings = {
  issuedShare: 0.9,
  memberShare: 0.1,
  burstMs: 250,
  maxReservationMs: 2_000,
  minRatePerS: 0.1,
};

/** Time after which a permit that was not used expires, in ms. */
export const permitLifetimeMs = 500;

/** Time from the end of an issuer until all its permits have been used or have expired, in ms. */
export const issuerStartMs = (settings: RateLimitSettings): number =>
  settings.maxReservationMs + permitLifetimeMs;
