import type { HostState } from '@currantdrift/core';

/** A model in an engine's accelerator memory. */
export interface LoadedModel {
  readonly name: string;
  readonly adapters: readonly string[];
}

/** Models of which an engine keeps a copy outside its accelerator memory. */
export interface ModelCopies {
  readonly inMemory: readonly string[];
  readonly onDisk: readonly string[];
}

/** An endpoint as it describes itself in the store. */
export interface EndpointRecord {
  readonly id: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly domain: string;
  readonly slots: number;
  readonly state: HostState;
  /** Start of its process in ms since the epoch; differs between starts under one id. */
  readonly bornAt: number;
  /** Time after which it is gone, as counted from the record, in ms. */
  readonly remainingMs: number | undefined;
  /** Undefined if it holds no models or does not say. */
  readonly models: readonly LoadedModel[] | undefined;
  readonly copies: ModelCopies;
}

/** What an engine says of itself when it is asked. */
export interface EngineReport {
  readonly bornAt: number | undefined;
  readonly models: readonly LoadedModel[];
  /** Whether a load or an unload of a model is under way. */
  readonly busy: boolean;
  /** Orders accepted since its start. */
  readonly orderCount: number;
  readonly copies: ModelCopies;
}
