import type { HostState } from '@currantdrift/core';

/** A model in an engine's accelerator memory, with its adapters. */
export interface LoadedModel {
  readonly name: string;
  readonly adapters: readonly string[];
}

/** Models of which an engine has a copy outside its accelerator memory. */
export interface ModelCopies {
  readonly inMemory: readonly string[];
  readonly onDisk: readonly string[];
}

/** An endpoint's own description in the store. */
export interface EndpointRecord {
  readonly id: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly domain: string;
  readonly slots: number;
  readonly state: HostState;
  /** Start time of the process in ms since the epoch; distinguishes restarts under the same id. */
  readonly bornAt: number;
  /** Version of its software, not of a model; empty if the record does not state it. */
  readonly softwareVersion: string;
  /** Time from the record until the endpoint is gone, in ms. */
  readonly remainingMs: number | undefined;
  /** Undefined if the endpoint has no models or does not report them. */
  readonly models: readonly LoadedModel[] | undefined;
  readonly copies: ModelCopies;
}

/** An engine's response to a status request. */
export interface EngineReport {
  readonly bornAt: number | undefined;
  readonly models: readonly LoadedModel[];
  /** Whether a load or an unload of a model is in progress. */
  readonly busy: boolean;
  /** Orders accepted since the engine started. */
  readonly orderCount: number;
  readonly copies: ModelCopies;
}
