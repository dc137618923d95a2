import type { WakeRefusal } from '@currantdrift/core';
import type { Result } from 'neverthrow';

/** A request to load a model, and optionally one of its adapters, that a client's request needs. */
export interface ModelLoadRequest {
  readonly service: string;
  readonly model: string;
  readonly adapter: string | undefined;
  /** Time until the request expires, in ms; a model that is ready later is of no use to it. */
  readonly timeLeftMs: number;
  /** Time until the request misses the first-byte target of its route, in ms; may be negative. */
  readonly onTimeLeftMs: number;
  /** Priority of the request's route; 0 is the most urgent. */
  readonly priority: number;
  /** Whether engines hold the model, but their request limits leave no place in time. */
  readonly limited: boolean;
  readonly request: string;
  /** Ids of the engines that hold the model but are unreachable from this process. */
  readonly unreachable: readonly string[];
}

/** Requests the loading of models that no endpoint holds. */
export interface ModelWaker {
  /** Resolves with the expected time until the model is ready, in ms, or with a refusal. */
  wake(want: ModelLoadRequest): Promise<Result<number, WakeRefusal>>;
}
