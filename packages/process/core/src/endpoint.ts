import type { Result } from 'neverthrow';
import type { Failure } from './failure';
import type { Host, HostState } from './hosts';

export interface ChatMessage {
  readonly role: 'system' | 'user' | 'assistant';
  readonly content: string;
}

/** Request for one attempt to generate a response. */
export interface GenerationRequest {
  readonly requestId: string;
  /** Attempt number, from 1; responses repeat it. */
  readonly attempt: number;
  /** Item key, `quote-7@3` or `quote-7:venues@1`. */
  readonly item: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly temperature?: number;
  readonly seed?: number;
  /** 0 (lowest) to 9. */
  readonly priority: number;
  /** Tokens already delivered to the caller; generation continues after them. */
  readonly resume: readonly string[];
  /** W3C trace context of the calling span. */
  readonly traceparent?: string;
}

/** Part of a generated stream. */
export type StreamPart =
  | {
      readonly kind: 'tokens';
      readonly requestId: string;
      readonly attempt: number;
      /** Index of the first token within the whole response. */
      readonly offset: number;
      readonly tokens: readonly string[];
    }
  | {
      readonly kind: 'end';
      readonly requestId: string;
      readonly attempt: number;
      /** Number of tokens in the whole response. */
      readonly offset: number;
      readonly finishReason: 'stop' | 'length';
    };

/** Request to a service that is not a model engine. */
export interface ServiceCallRequest {
  readonly requestId: string;
  readonly service: string;
  readonly call: string;
  readonly method: string;
  /** Query string without the question mark; may be empty. */
  readonly query: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly idempotencyKey?: string;
  readonly traceparent?: string;
}

export interface ServiceCallResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Whether only the end of the connection marked its end, so that it may be incomplete; false by default. */
  readonly endsWithConnection?: boolean;
}

export const OrderKind = { load: 'load', unload: 'unload', role: 'role' } as const;
export type OrderKind = (typeof OrderKind)[keyof typeof OrderKind];

/** A command from the domain controller to an engine. */
export interface Order {
  /** Id of the recorded intent; an engine executes each id at most once per boot. */
  readonly id: string;
  /** Fencing token: the epoch of the controller that sent the order. */
  readonly epoch: number;
  readonly kind: OrderKind;
  /** Item key; empty for a role order. */
  readonly item: string;
  readonly bytes: number;
  readonly role?: string;
}

export const CacheTier = { memory: 'memory', disk: 'disk', remote: 'remote' } as const;
export type CacheTier = (typeof CacheTier)[keyof typeof CacheTier];

/** An item in the accelerator memory of an engine. */
export interface LoadedItem {
  readonly item: string;
  readonly bytes: number;
  readonly state: 'loading' | 'ready' | 'unloading';
  /** Number of streams that are using the item. */
  readonly running: number;
}

/** Status that an endpoint reports about itself; it lags behind the actual state. */
export interface EndpointReport {
  readonly endpoint: string;
  /** Changes each time the endpoint process starts. */
  readonly bootId: string;
  /** Increases with each report since the boot. */
  readonly sequence: number;
  readonly state: HostState;
  /** Highest epoch seen in an order; 0 if there was no order. */
  readonly epoch: number;
  /** Accelerator memory available for items, in bytes; 0 for services. */
  readonly memoryBytes: number;
  readonly items: readonly LoadedItem[];
  /** Checkpoints cached outside accelerator memory; unlisted checkpoints are remote. */
  readonly cached: readonly { readonly item: string; readonly tier: CacheTier }[];
  /** Number of requests that the endpoint is running. */
  readonly running: number;
  /** Number of requests queued in the endpoint. */
  readonly waiting: number;
  /** Number of requests that the endpoint can run concurrently. */
  readonly slots: number;
  /** Requests per second that it takes from all daemons together; absent if it has no limit. */
  readonly requestLimitPerS?: number;
  /** Version of its software, not of an item; absent if it does not state it. */
  readonly softwareVersion?: string;
}

/** A change in the prefix cache of an engine. Events arrive late, and some are lost. */
export interface CacheEvent {
  readonly sequence: number;
  readonly item: string;
  /** Hash of the prompt prefix. */
  readonly prefix: string;
  readonly kind: 'stored' | 'evicted';
}

/**
 * Client of a model engine or a service. After a failure of kind `unreachable` no byte was sent;
 * after `refused` the endpoint responded that it did not run the call; after `unknown` and
 * `invalid` the call may have run.
 */
export interface Endpoint {
  readonly id: string;
  readonly domain: string;
  readonly pool: string;
  readonly fencing: boolean;
  /** Opens a token stream. The iteration ends after an `end` part or a failure. */
  generate(
    generation: GenerationRequest,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Result<StreamPart, Failure>>, Failure>>;
  call(
    call: ServiceCallRequest,
    signal: AbortSignal,
  ): Promise<Result<ServiceCallResponse, Failure>>;
  /** Resolves when the engine has finished the order; for a load, when the item is ready. */
  order(order: Order, signal: AbortSignal): Promise<Result<void, Failure>>;
  report(signal: AbortSignal): Promise<Result<EndpointReport, Failure>>;
  /** Cache events whose sequence number is greater than `after`. */
  cacheEvents(after: number, signal: AbortSignal): Promise<Result<readonly CacheEvent[], Failure>>;
  /** Cancels an attempt whose response is no longer needed. Best effort. */
  cancel(requestId: string, attempt: number): Promise<void>;
}

/** Creates the client for an endpoint; nothing else depends on the protocol that it speaks. */
export interface EndpointConnector {
  connect(host: Host): Endpoint;
}
