/** How the use of an endpoint ended, as far as it says something about the endpoint. */
export type Release =
  | 'succeeded'
  /** The endpoint or the connection to it failed. */
  | 'failed'
  /** The endpoint refused because it has too much to do. */
  | 'overloaded'
  /** Says nothing, for example because the caller went away. */
  | 'neutral';

/** Permission for one request in flight at an endpoint. */
export interface Lease {
  /** Name of the endpoint's host. */
  readonly endpoint: string;
  /**
   * Gives a latency in ms that does not grow with the length of the answer: time to the first
   * token of a generation, whole time of a plain call. At most once for each lease counts.
   */
  observe(latencyMs: number, now: number): void;
  /** Ends the use. False, without effect, when it had ended before. */
  release(result: Release, now: number): boolean;
}

/** Why no endpoint was given. */
export interface NoEndpoint {
  readonly kind:
    /** No live endpoint that was not tried. */
    | 'none'
    /** All of them are at their limits. */
    | 'busy';
  readonly message: string;
  /** Milliseconds until another try may succeed; undefined while unknown. */
  readonly retryAfterMs?: number;
}
