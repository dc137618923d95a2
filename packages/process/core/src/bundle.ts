/** A failure domain; the replica limits of the bundle are divided among all domains. */
export interface BundleDomain {
  readonly name: string;
  readonly region: string;
  /** Whether the first bundle lists the domain. Domains added later get no default allotment. */
  readonly founding: boolean;
}

/** A caller with its API keys and access rights. */
export interface Caller {
  readonly name: string;
  /** Lower-case hexadecimal SHA-256 of each API key. */
  readonly keyHashes: readonly string[];
  /** Names of the models and adapters it may use; `model:*` stands for all adapters of a model. */
  readonly items: readonly string[];
  readonly services: readonly string[];
  /** Highest priority, 0 to 9, that the caller may request. */
  readonly maxPriority: number;
  /** Share of capacity relative to other callers. */
  readonly weight: number;
}

/** Daily time window, in UTC, in which a model is expected to be in use. */
export interface CalendarWindow {
  /** `HH:MM`, start of the window. */
  readonly from: string;
  /** `HH:MM`, end of the window; before `from` for a window across midnight. */
  readonly to: string;
}

export interface Model {
  readonly name: string;
  readonly version: string;
  readonly bytes: number;
  /** Highest number of replicas over all domains, all versions counted together. */
  readonly replicas: number;
  /** Pool of the engines that may load the model. */
  readonly pool: string;
  readonly calendar: readonly CalendarWindow[];
}

export interface Adapter {
  /** `model:adapter`. */
  readonly name: string;
  readonly version: string;
  readonly bytes: number;
  /** Highest number of replicas over all domains, all versions counted together. */
  readonly replicas: number;
}

/** A call that a service offers. */
export interface ServiceCall {
  readonly name: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** False if the call must run at most once; callers must then send an `Idempotency-Key`. */
  readonly repeatable: boolean;
}

/** A service that is not a model engine. */
export interface Service {
  readonly name: string;
  /** Pool of the endpoints that serve it. */
  readonly pool: string;
  readonly calls: readonly ServiceCall[];
}

/** The configuration that operators sign and roll out. */
export interface Bundle {
  readonly version: number;
  /** Digest of the replaced bundle; null for the first bundle. */
  readonly previous: string | null;
  readonly domains: readonly BundleDomain[];
  readonly callers: readonly Caller[];
  readonly models: readonly Model[];
  readonly adapters: readonly Adapter[];
  readonly services: readonly Service[];
}
