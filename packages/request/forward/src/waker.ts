import type { WakeRefusal } from '@currantdrift/core';
import type { Result } from 'neverthrow';

/** A model, and perhaps one of its adapters, that requests wait for. */
export interface ModelLoadRequest {
  readonly service: string;
  readonly model: string;
  readonly adapter: string | undefined;
  /** Time within which it must be ready for the request to be worth serving, in ms. */
  readonly timeLeftMs: number;
  /** Time within which it must be ready for an answer that is on time, in ms; may be negative. */
  readonly onTimeLeftMs: number;
  /** Rank of the request's route; 0 is the most urgent. */
  readonly priority: number;
  readonly request: string;
  /** Engines that hold the model and that this process cannot use. */
  readonly unreachable: readonly string[];
}

/** Gets models loaded that no endpoint holds. */
export interface ModelWaker {
  /** Resolves with the time in ms until it is expected to be ready, or with a refusal. */
  wake(want: ModelLoadRequest): Promise<Result<number, WakeRefusal>>;
}
