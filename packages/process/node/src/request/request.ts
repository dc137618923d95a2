import type { Caller, ChatMessage, ServiceCallResponse } from '@currantdrift/core';
import type { Result } from 'neverthrow';
import type { Refusal } from './refusal';

/** A checked chat request of an authenticated caller. */
export interface ChatRequest {
  readonly requestId: string;
  readonly caller: Caller;
  /** Name of the model or adapter, without a version. */
  readonly item: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly temperature?: number;
  readonly seed?: number;
  /** 0 to 9. */
  readonly priority: number;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
  readonly traceparent?: string;
}

/** Part of an answer on its way to the caller. */
export type ChatPart =
  | { readonly kind: 'tokens'; readonly tokens: readonly string[] }
  | {
      readonly kind: 'end';
      readonly finishReason: 'stop' | 'length';
      /** Tokens in the whole answer. */
      readonly total: number;
    };

/** Parts of an answer; ends after an `end` part or a refusal. */
export type ChatStream = AsyncIterable<Result<ChatPart, Refusal>>;

/** A checked call of a plain service by an authenticated caller. */
export interface ServiceRequest {
  readonly requestId: string;
  readonly caller: Caller;
  readonly service: string;
  readonly call: string;
  readonly method: string;
  readonly query: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly idempotencyKey?: string;
  readonly priority: number;
  readonly deadline: number;
  readonly traceparent?: string;
}

/** Answer of a plain service; `replayed` if an earlier call with the same key gave it. */
export interface ServiceAnswer extends ServiceCallResponse {
  readonly replayed: boolean;
}

/** What callers' requests need of a daemon. */
export interface Entry {
  /** The caller that an API key belongs to. */
  authenticate(apiKey: string): Caller | undefined;
  /** Names of the models and adapters that a caller may reach. */
  items(caller: Caller): readonly string[];
  chat(request: ChatRequest, signal: AbortSignal): ChatStream;
  call(request: ServiceRequest, signal: AbortSignal): Promise<Result<ServiceAnswer, Refusal>>;
}
