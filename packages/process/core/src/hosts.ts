import type { Result } from 'neverthrow';
import type { Failure } from './failure';

export const HostKind = { daemon: 'daemon', engine: 'engine', service: 'service' } as const;
export type HostKind = (typeof HostKind)[keyof typeof HostKind];

export const HostState = { live: 'live', leaving: 'leaving' } as const;
export type HostState = (typeof HostState)[keyof typeof HostState];

/** An entry of the platform's host list. */
export interface Host {
  readonly name: string;
  readonly kind: HostKind;
  readonly domain: string;
  /** `ip:port` of the process on the host: peer port of a daemon, HTTP port of an endpoint. */
  readonly address: string;
  readonly state: HostState;
  /** Increases each time the host is replaced under the same name. */
  readonly incarnation: number;
  /** Pool of an endpoint; empty for daemons. */
  readonly pool: string;
  /** Whether the engine rejects orders with an outdated epoch. */
  readonly fencing: boolean;
}

/** The part of the host list that is relevant to one domain. */
export interface DomainHosts {
  /** All hosts of the domain and the daemons of the other domains. */
  readonly hosts: readonly Host[];
  /** Number of engines in all domains. */
  readonly engines: number;
}

/**
 * The platform's list of hosts, which lags behind the actual state. A read without changes
 * returns the same array as the previous read.
 */
export interface HostList {
  read(): Promise<Result<readonly Host[], Failure>>;
  /** Reads the part for `domain`. Without this method, callers read the whole list. */
  readDomain?(domain: string): Promise<Result<DomainHosts, Failure>>;
}
