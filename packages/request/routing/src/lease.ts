/** How the use of an endpoint ended, as evidence about the endpoint. */
export type LeaseOutcome =
  | 'succeeded'
  /** The endpoint or the connection to it failed. */
  | 'failed'
  /** The endpoint refused because of overload. */
  | 'overloaded'
  /** No evidence about the endpoint, for example because the caller disconnected. */
  | 'neutral';

/** Permission for one request in flight at an endpoint. */
export interface Lease {
  /** Name of the endpoint's host. */
  readonly endpoint: string;
  /**
   * Records a latency in ms that does not depend on the length of the answer: time to the first
   * token of a generation, total time of a plain call. Only the first call for each lease counts.
   */
  observe(latencyMs: number, now: number): void;
  /** Ends the lease. Returns false and has no effect if it has already ended. */
  release(result: LeaseOutcome, now: number): boolean;
}

/** Why no lease was acquired. */
export interface NoEndpoint {
  readonly kind:
    /** There is no live endpoint that was not tried. */
    | 'none'
    /** All live endpoints are at their limits. */
    | 'busy';
  readonly message: string;
  /** Time until another attempt may succeed, in ms; undefined if unknown. */
  readonly retryAfterMs?: number;
}
