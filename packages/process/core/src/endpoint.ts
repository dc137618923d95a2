import type { Result } from 'neverthrow';
import type { Failure } from './failure';
import type { Host, HostState } from './hosts';

export interface ChatMessage {
  readonly role: 'system' | 'user' | 'assistant';
  readonly content: string;
}

/** One attempt to generate an answer. */
export interface GenerationRequest {
  readonly requestId: string;
  /** Number of the attempt, from 1; replies carry it back. */
  readonly attempt: number;
  /** Item key, `quote-7@3` or `quote-7:venues@1`. */
  readonly item: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly temperature?: number;
  readonly seed?: number;
  /** 0 (lowest) to 9. */
  readonly priority: number;
  /** Tokens already delivered to the caller; generation goes on after them. */
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
      /** Position of the first token in the whole answer. */
      readonly offset: number;
      readonly tokens: readonly string[];
    }
  | {
      readonly kind: 'end';
      readonly requestId: string;
      readonly attempt: number;
      /** Number of tokens in the whole answer. */
      readonly offset: number;
      readonly finishReason: 'stop' | 'length';
    };

/** A call of a plain service. */
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
}

export const OrderKind = { load: 'load', unload: 'unload', role: 'role' } as const;
export type OrderKind = (typeof OrderKind)[keyof typeof OrderKind];

/** An instruction of the domain controller to an engine. */
export interface Order {
  /** Id of the intent behind the order; an engine carries out an id at most once per boot. */
  readonly id: string;
  /** Fencing token. */
  readonly epoch: number;
  readonly kind: OrderKind;
  /** Item key; empty for a role order. */
  readonly item: string;
  readonly bytes: number;
  readonly role?: string;
}

export const CacheTier = { memory: 'memory', disk: 'disk', remote: 'remote' } as const;
export type CacheTier = (typeof CacheTier)[keyof typeof CacheTier];

/** An item in an engine's accelerator memory. */
export interface LoadedItem {
  readonly item: string;
  readonly bytes: number;
  readonly state: 'loading' | 'ready' | 'unloading';
  /** Streams that use the item now. */
  readonly running: number;
}

/** What an endpoint says of itself, with a lag. */
export interface EndpointReport {
  readonly endpoint: string;
  /** Changes when the endpoint's process starts. */
  readonly bootId: string;
  /** Rises with each report of a boot. */
  readonly sequence: number;
  readonly state: HostState;
  /** Highest epoch that an order carried; 0 for none. */
  readonly epoch: number;
  /** Accelerator memory for items, in bytes; 0 for plain services. */
  readonly memoryBytes: number;
  readonly items: readonly LoadedItem[];
  /** Checkpoints outside accelerator memory; those not listed are remote. */
  readonly cached: readonly { readonly item: string; readonly tier: CacheTier }[];
  /** Requests running and waiting in the endpoint. */
  readonly running: number;
  readonly waiting: number;
  /** Requests that the endpoint runs at once. */
  readonly slots: number;
}

/** Late and incomplete news about an engine's prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly item: string;
  /** Hash of the prompt prefix. */
  readonly prefix: string;
  readonly kind: 'stored' | 'evicted';
}

/**
 * A model engine or a plain service. `unreachable`: no byte was sent. `refused`: the endpoint
 * answered that it did not run the call. `unknown` and `invalid`: it may have run.
 */
export interface Endpoint {
  readonly id: string;
  readonly domain: string;
  readonly pool: string;
  readonly fencing: boolean;
  /** Opens a stream. The iteration ends after an `end` part or after a failure. */
  generate(
    generation: GenerationRequest,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Result<StreamPart, Failure>>, Failure>>;
  call(
    call: ServiceCallRequest,
    signal: AbortSignal,
  ): Promise<Result<ServiceCallResponse, Failure>>;
  /** Done means that the engine finished the order; a load answers when the item is ready. */
  order(order: Order, signal: AbortSignal): Promise<Result<void, Failure>>;
  report(signal: AbortSignal): Promise<Result<EndpointReport, Failure>>;
  cacheEvents(after: number, signal: AbortSignal): Promise<Result<readonly CacheEvent[], Failure>>;
  /** Ends an attempt whose answer is no longer wanted. Best effort. */
  cancel(requestId: string, attempt: number): Promise<void>;
}

/** Makes the adapter for an endpoint; the one place that knows which protocol it speaks. */
export interface EndpointConnector {
  connect(host: Host): Endpoint;
}
