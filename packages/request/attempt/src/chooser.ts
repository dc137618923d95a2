import type { Endpoint } from '@currantdrift/core';
import type { Result } from 'neverthrow';
import type { Reason } from './outcome';

/** Health signal that an attempt gives about its endpoint. */
export type TargetResult = 'succeeded' | 'failed' | 'overloaded' | 'neutral';

/** Reserved capacity at an endpoint. `Lease` of the routing package implements this interface. */
export interface Lease {
  /** Reports a latency that is independent of the length of the answer, in ms. */
  observe(latencyMs: number, now: number): void;
  release(result: TargetResult, now: number): unknown;
}

/** An endpoint to try and the lease held on it. The runner releases the lease exactly once. */
export interface Target {
  readonly endpoint: Endpoint;
  readonly lease: Lease;
  /** Software version of the engine that answers, once it is known; undefined if it is not stated. */
  readonly softwareVersion?: () => string | undefined;
}

/** Why an attempt is started. */
export type AttemptCause = 'first' | 'retry' | 'resume' | 'hedge';

/** Describes the attempt that an endpoint is chosen for. */
export interface AttemptContext {
  readonly cause: AttemptCause;
  /**
   * How the last attempt ended; undefined before the first. After `broken` or `stalled` the same
   * endpoint may work over a new connection; after `refused` it would refuse again.
   */
  readonly last: 'refused' | 'broken' | 'stalled' | undefined;
  /**
   * Software version of the engine that wrote the first tokens. What two versions write does not fit
   * together, so only engines of this one may go on; undefined before the first token.
   */
  readonly softwareVersion?: string;
}

/**
 * Chooses the next endpoint. `tried` lists the ids of the endpoints of earlier attempts, in order.
 * A target that is returned after `signal` was aborted is released unused.
 */
export type Chooser = (
  tried: readonly string[],
  signal: AbortSignal,
  context: AttemptContext,
) => Promise<Result<Target, Reason>> | Result<Target, Reason>;

/** Start or end of an attempt, reported for telemetry. */
export interface AttemptEvent {
  readonly kind: 'started' | 'ended';
  readonly attempt: number;
  readonly endpoint: string;
  readonly cause: AttemptCause;
  /** Set only if `kind` is `ended`. */
  readonly result?: 'complete' | 'refused' | 'broken' | 'stalled' | 'cancelled';
  readonly message?: string;
}
