/** A failure domain that the bundle's replica limits are split over. */
export interface BundleDomain {
  readonly name: string;
  readonly region: string;
  /** False for a domain appended after the first bundle: it holds no default allotment. */
  readonly founding: boolean;
}

/** What one caller may reach. */
export interface Caller {
  readonly name: string;
  /** Lower-case hexadecimal SHA-256 of each API key. */
  readonly keyHashes: readonly string[];
  /** Names of models and adapters; `model:*` covers all adapters of a model. */
  readonly items: readonly string[];
  readonly services: readonly string[];
  /** Highest priority, 0 to 9, that the caller may ask for. */
  readonly maxPriority: number;
  /** Share of capacity relative to other callers. */
  readonly weight: number;
}

/** Times of day, in UTC, at which a model is expected to be in use. */
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
  /** Pool of engines that may hold the model. */
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

export interface ServiceCall {
  readonly name: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** False if the call must run at most once; callers then send an `Idempotency-Key`. */
  readonly repeatable: boolean;
}

export interface Service {
  readonly name: string;
  /** Pool of plain endpoints that serve it. */
  readonly pool: string;
  readonly calls: readonly ServiceCall[];
}

/** A bundle as the operators signed it off. */
export interface Bundle {
  readonly version: number;
  /** Digest of the bundle that this one replaces; null for the first. */
  readonly previous: string | null;
  readonly domains: readonly BundleDomain[];
  readonly callers: readonly Caller[];
  readonly models: readonly Model[];
  readonly adapters: readonly Adapter[];
  readonly services: readonly Service[];
}
