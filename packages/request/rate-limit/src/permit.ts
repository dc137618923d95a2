/** An instance of an endpoint that limits its requests. */
export interface LimitedEndpoint {
  readonly endpoint: string;
  /** Start time of the process in ms since the epoch; distinguishes restarts under the same id. */
  readonly bornAt: number;
  /** Requests per second that it takes from all daemons together. */
  readonly ratePerS: number;
}

/** Allows one call to an endpoint, from `waitMs` after the decision on. */
export interface Permit {
  readonly kind: 'granted';
  readonly endpoint: string;
  readonly waitMs: number;
}

/** No endpoint takes the call in time. */
export interface PermitRefusal {
  readonly kind: 'refused';
  /** Time after which a call may be permitted, in ms. */
  readonly retryAfterMs: number;
}

export type PermitDecision = Permit | PermitRefusal;
