import type { Caller, ChatMessage, ServiceCallResponse } from '@currantdrift/core';
import type { Result } from 'neverthrow';
import type { Refusal } from './refusal';

/** A validated chat request of an authenticated caller. */
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

/** Part of a streamed answer. */
export type ChatPart =
  | {
      readonly kind: 'tokens';
      readonly tokens: readonly string[];
      /** Software version of the engine that wrote the first tokens; absent if it is not known. */
      readonly softwareVersion?: string;
    }
  | {
      readonly kind: 'end';
      readonly finishReason: 'stop' | 'length';
      /** Number of tokens in the complete answer. */
      readonly total: number;
    };

/** Stream of the parts of an answer; ends after an `end` part or a refusal. */
export type ChatStream = AsyncIterable<Result<ChatPart, Refusal>>;

/** A validated call of a plain service by an authenticated caller. */
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

/**
 * Answer of a plain service; `replayed` if it is the recorded answer to an earlier call with the
 * same key.
 */
export interface ServiceAnswer extends ServiceCallResponse {
  readonly replayed: boolean;
}

/** Operations that a daemon offers to callers. */
export interface RequestEntry {
  /** Returns the caller to whom an API key belongs; undefined for an unknown key. */
  authenticate(apiKey: string): Caller | undefined;
  /** Names of the models and adapters that a caller may access. */
  items(caller: Caller): readonly string[];
  chat(request: ChatRequest, signal: AbortSignal): ChatStream;
  call(request: ServiceRequest, signal: AbortSignal): Promise<Result<ServiceAnswer, Refusal>>;
}
