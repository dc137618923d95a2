/** What may be repeated of a request. */
export const RequestKind = {
  /** May run more than once. */
  safe: 'safe',
  /** May run at most once for each request of a client. */
  unsafe: 'unsafe',
  /** A series of events; may run once unless its route is resumable. */
  stream: 'stream',
} as const;
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** A service that a route may use, with its share of the route's requests. */
export interface Target {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host below one path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Whether a broken stream may go on at another endpoint. */
  readonly resumable: boolean;
  /** Longest time that a client is kept waiting for the whole answer, in ms. */
  readonly timeoutMs: number;
  /** Time to the first byte within which an answer is on time, in ms. */
  readonly firstByteTargetMs: number;
  /** Longest pause between events of a stream that is on time, in ms. */
  readonly pauseMs: number | undefined;
  /** Silence after which clients give up a stream, in ms; undefined if there is no such time. */
  readonly clientTimeoutMs: number | undefined;
  /** Rank among routes; 0 is the most urgent. */
  readonly priority: number;
  /** Endpoints at which one request may run. */
  readonly maxAttempts: number;
  /** At least one. */
  readonly targets: readonly Target[];
}

/** A model that engines of a service can load. */
export interface Model {
  readonly name: string;
  /** Size of its weights, in MB. */
  readonly sizeMb: number;
  /** Time of a load from the weight store, from the engine's disk and from its memory, in ms. */
  readonly remoteLoadMs: number;
  readonly diskLoadMs: number;
  readonly memoryLoadMs: number;
  /** Size of one of its adapters, in MB. */
  readonly adapterMb: number;
}

/** What the engines of a service have in common. */
export interface EnginePool {
  readonly slots: number;
  /** Tokens of prompts and answers that an engine keeps. */
  readonly cacheTokens: number;
  /** Memory for weights and adapters of one engine, in MB. */
  readonly memoryMb: number;
  readonly adapterSlots: number;
  /** Loads from the weight store that may start in a second, over all engines. */
  readonly remoteLoadsPerSecond: number;
  readonly models: ReadonlyMap<string, Model>;
}

export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one endpoint accepts. */
  readonly maxConnections: number;
  /** Undefined for a service that has no models. */
  readonly engines: EnginePool | undefined;
}

/** What a client may send. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time for the headers of a request, in ms. */
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
}
