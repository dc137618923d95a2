import type { CustomerTable } from './customers';

/** Whether and how a request may be repeated. */
export const RequestKind = {
  /** May run more than once. */
  safe: 'safe',
  /** Must not run more than once for each client request. */
  unsafe: 'unsafe',
  /** The response is a stream of events; runs once unless its route is resumable. */
  stream: 'stream',
} as const;
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** A service that a route sends requests to, and its share of them relative to the other targets. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** A rule for the requests to one host under one path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Whether a broken stream may be continued at another endpoint. */
  readonly resumable: boolean;
  /** Time limit for the complete response, in ms. */
  readonly timeoutMs: number;
  /** Time to the first byte within which a response is on time, in ms. */
  readonly firstByteTargetMs: number;
  /** Longest pause between events within which a stream is on time, in ms; undefined for no target. */
  readonly pauseMs: number | undefined;
  /** Silence after which clients are assumed to abandon a stream, in ms; undefined for no limit. */
  readonly clientTimeoutMs: number | undefined;
  /** Priority among routes; 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of times that one request may run. */
  readonly maxAttempts: number;
  /** Whether requests need no API key although the configuration has customers. */
  readonly isPublic?: boolean;
  /** Contains at least one target. */
  readonly targets: readonly RouteTarget[];
}

/** A model that the engines of a service can load. */
export interface Model {
  readonly name: string;
  /** Size of its weights, in MB. */
  readonly sizeMb: number;
  /** Time to load the model from the weight store, the engine's disk and its main memory, in ms. */
  readonly remoteLoadMs: number;
  readonly diskLoadMs: number;
  readonly memoryLoadMs: number;
  /** Size of one of its adapters, in MB. */
  readonly adapterMb: number;
  /** Names of its adapters; undefined if the configuration does not list them. */
  readonly adapters?: ReadonlySet<string>;
}

/** Properties that all engines of a service share. */
export interface EnginePool {
  readonly slots: number;
  /** Capacity of an engine's KV cache, in tokens of prompts and responses. */
  readonly cacheTokens: number;
  /** Memory for weights and adapters of one engine, in MB. */
  readonly memoryMb: number;
  readonly adapterSlots: number;
  /** Loads from the weight store that may start per second, over all engines. */
  readonly remoteLoadsPerSecond: number;
  readonly models: ReadonlyMap<string, Model>;
}

export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum number of connections that one endpoint accepts. */
  readonly maxConnections: number;
  /** Undefined for a service without models. */
  readonly engines: EnginePool | undefined;
}

/** Limits on client requests and connections. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time limit for receiving the headers of a request, in ms. */
  readonly headerTimeoutMs: number;
  /** Time after which an idle connection of a client is closed, in ms. */
  readonly idleTimeoutMs: number;
}

/** The operator's configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: ClientLimits;
  /** Undefined if the deployment has no customers: requests carry no API keys. */
  readonly customers?: CustomerTable;
}

/**
 * Whether a configuration knows a model, with its adapter if one is named. Clients choose the names that they
 * send, so nothing may be kept under a name before this holds. A service that the configuration does not
 * describe has no list of models to check.
 */
export const knowsModel = (
  { services }: Pick<Configuration, 'services'>,
  service: string,
  model: string,
  adapter: string | undefined,
): boolean => {
  const described = services.get(service);
  if (described === undefined) return true;
  const found = described.engines?.models.get(model);
  if (found === undefined) return false;
  return adapter === undefined || (found.adapters?.has(adapter) ?? true);
};
