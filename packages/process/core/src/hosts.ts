import type { Result } from 'neverthrow';
import type { Failure } from './failure';

export const HostKind = { daemon: 'daemon', engine: 'engine', service: 'service' } as const;
export type HostKind = (typeof HostKind)[keyof typeof HostKind];

export const HostState = { live: 'live', leaving: 'leaving' } as const;
export type HostState = (typeof HostState)[keyof typeof HostState];

/** A host as the platform lists it. */
export interface Host {
  readonly name: string;
  readonly kind: HostKind;
  readonly domain: string;
  /** `ip:port` of the process on the host: peer port of a daemon, HTTP port of an endpoint. */
  readonly address: string;
  readonly state: HostState;
  /** Rises each time the host is replaced under the same name. */
  readonly incarnation: number;
  /** Pool of an endpoint; empty for daemons. */
  readonly pool: string;
  /** Whether an engine refuses orders that carry an old epoch. */
  readonly fencing: boolean;
}

/** The part of the host list that concerns one domain. */
export interface DomainHosts {
  /** All hosts of the domain, and the daemons of other domains. */
  readonly hosts: readonly Host[];
  /** Number of engines of all domains. */
  readonly engines: number;
}

/**
 * The platform's list of hosts, which lags behind what happens. A read that finds nothing new
 * gives the same array as the one before.
 */
export interface HostList {
  read(): Promise<Result<readonly Host[], Failure>>;
  /** Reads what concerns `domain`; a list without it is read whole. */
  readDomain?(domain: string): Promise<Result<DomainHosts, Failure>>;
}
