import type { Endpoint } from '@currantdrift/core';
import type { Result } from 'neverthrow';
import type { Reason } from './outcome';

/** What an attempt says about the endpoint it used. */
export type TargetResult = 'succeeded' | 'failed' | 'overloaded' | 'neutral';

/** A place at an endpoint; a lease of the routing package has this form. */
export interface Place {
  /** Latency that does not grow with the length of the answer, in ms. */
  observe(latencyMs: number, now: number): void;
  release(result: TargetResult, now: number): unknown;
}

/** An endpoint to try, with the place held at it. The runner releases the place exactly once. */
export interface Target {
  readonly endpoint: Endpoint;
  readonly lease: Place;
}

/** Why an endpoint is asked for. */
export type Cause = 'first' | 'retry' | 'resume' | 'hedge';

/** What a chooser may go by beside the endpoints that were tried. */
export interface AttemptContext {
  readonly cause: Cause;
  /**
   * How the last attempt ended; undefined before the first. After `broken` or `stalled` the same
   * endpoint may work over a new connection, after `refused` it will not.
   */
  readonly last: 'refused' | 'broken' | 'stalled' | undefined;
}

/**
 * Gives the next endpoint. `tried` names the endpoints of earlier attempts, in order. What it
 * gives after `signal` is aborted is released unused.
 */
export type Chooser = (
  tried: readonly string[],
  signal: AbortSignal,
  choice: AttemptContext,
) => Promise<Result<Target, Reason>> | Result<Target, Reason>;

/** News of attempts for telemetry. */
export interface AttemptEvent {
  readonly kind: 'started' | 'ended';
  readonly attempt: number;
  readonly endpoint: string;
  readonly cause: Cause;
  /** Only when ended. */
  readonly result?: 'complete' | 'refused' | 'broken' | 'stalled' | 'cancelled';
  readonly message?: string;
}
