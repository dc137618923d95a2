import type { Result } from 'neverthrow';
import type { CacheTier, LoadedItem } from './endpoint';
import type { Host, HostState } from './hosts';

/** State of an endpoint as its watcher disseminates it in the domain. */
export interface EndpointState {
  readonly host: Host;
  readonly bootId: string;
  /** Sequence number of the report behind this state. */
  readonly sequence: number;
  readonly state: HostState;
  readonly memoryBytes: number;
  readonly items: readonly Omit<LoadedItem, 'running'>[];
  readonly cached: readonly { readonly item: string; readonly tier: CacheTier }[];
  readonly slots: number;
  /** Load in eighths of its slots, 0 to 8 and above when requests wait; lags. */
  readonly level: number;
}

/** What a daemon knows of its own domain. */
export interface DomainView {
  endpoint(id: string): EndpointState | undefined;
  endpoints(): readonly EndpointState[];
  /** Endpoints that hold the item, ready, neither leaving nor draining it. */
  replicas(item: string): readonly EndpointState[];
  /** Live endpoints of a pool. */
  pool(name: string): readonly EndpointState[];
}

/** Why a wake-up did not give a replica. */
export interface WakeRefusal {
  readonly kind: 'no_allotment' | 'no_memory' | 'too_late' | 'no_controller' | 'failed';
  readonly message: string;
  /** Milliseconds until another try may succeed. */
  readonly retryAfterMs: number;
}

/** Gets an item loaded in this domain. */
export interface Waker {
  /**
   * Resolves with the endpoint that holds the item, or refuses as soon as it is known that the
   * item cannot be ready by `deadline` (ms since the epoch).
   */
  wake(item: string, deadline: number): Promise<Result<string, WakeRefusal>>;
  /** Tells the controller that the item was asked for; feeds the keep-warm policy. */
  touch(item: string, now: number): void;
}
