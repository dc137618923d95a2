import type { Result } from 'neverthrow';
import type { CacheTier, LoadedItem } from './endpoint';
import type { Host, HostState } from './hosts';

/** State of an endpoint, as published in the domain by the daemon that polls it. */
export interface EndpointState {
  readonly host: Host;
  readonly bootId: string;
  /** Sequence number of the report that this state comes from. */
  readonly sequence: number;
  readonly state: HostState;
  readonly memoryBytes: number;
  readonly items: readonly Omit<LoadedItem, 'running'>[];
  readonly cached: readonly { readonly item: string; readonly tier: CacheTier }[];
  readonly slots: number;
  /** Load in eighths of the slots, 0 to 8, or higher if requests are queued; lags. */
  readonly level: number;
  /** Requests per second that it takes from all daemons together; absent if it has no limit. */
  readonly requestLimitPerS?: number;
  /** Version of its software, not of an item; absent if it does not state it. */
  readonly softwareVersion?: string;
}

/** A daemon's view of the endpoints in its own domain. */
export interface DomainView {
  endpoint(id: string): EndpointState | undefined;
  endpoints(): readonly EndpointState[];
  /** Endpoints on which the item is ready and that are neither leaving nor draining it. */
  replicas(item: string): readonly EndpointState[];
  /** Live endpoints in a pool. */
  pool(name: string): readonly EndpointState[];
}

/** Why a wake-up did not produce a replica. */
export interface WakeRefusal {
  readonly kind: 'no_allotment' | 'no_memory' | 'too_late' | 'no_controller' | 'failed';
  readonly message: string;
  /** Milliseconds after which a retry may succeed. */
  readonly retryAfterMs: number;
}

/** Requests that items be loaded in this domain. */
export interface Waker {
  /**
   * Resolves with the endpoint that has the item loaded, or with a refusal as soon as it is known
   * that the item cannot be ready by `deadline` (ms since the Unix epoch).
   */
  wake(item: string, deadline: number): Promise<Result<string, WakeRefusal>>;
  /** Tells the controller that the item was requested, as input to the keep-warm policy. */
  touch(item: string, now: number): void;
}
