import type { ChatMessage, Message } from '@currantdrift/core';
import type { Refusal } from './refusal';

/** Kinds of messages about callers' requests between daemons of different domains. */
export const EntryMessage = {
  /** Opens a stream: a chat request that is served in the receiver's domain. */
  chat: 'entry.chat',
  /** A plain service call that is served in the receiver's domain. */
  call: 'entry.call',
  tokens: 'entry.tokens',
  end: 'entry.end',
  refused: 'entry.refused',
  answer: 'entry.answer',
} as const;

/** A forwarded chat request. Times are relative: the clocks of hosts differ. */
export interface ForwardedChat extends Message {
  readonly kind: typeof EntryMessage.chat;
  readonly requestId: string;
  readonly caller: string;
  /** Name of the item; the receiver's bundle decides its version. */
  readonly item: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly temperature?: number;
  readonly seed?: number;
  readonly priority: number;
  readonly deadlineMs: number;
  /** Tokens that the caller has already. */
  readonly resume: readonly string[];
  readonly traceparent?: string;
}

/** Parts of the answer to a forwarded chat request. */
export type ForwardedPart = Message &
  (
    | {
        readonly kind: typeof EntryMessage.tokens;
        readonly offset: number;
        readonly tokens: readonly string[];
      }
    | {
        readonly kind: typeof EntryMessage.end;
        readonly offset: number;
        readonly finishReason: 'stop' | 'length';
      }
    | { readonly kind: typeof EntryMessage.refused; readonly refusal: Refusal }
  );

/** A forwarded call of a plain service. */
export interface ForwardedCall extends Message {
  readonly kind: typeof EntryMessage.call;
  readonly requestId: string;
  readonly caller: string;
  readonly service: string;
  readonly call: string;
  readonly method: string;
  readonly query: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly idempotencyKey?: string;
  readonly priority: number;
  readonly deadlineMs: number;
  readonly traceparent?: string;
}

/** Answer to a forwarded call. */
export type ForwardedAnswer = Message &
  (
    | {
        readonly kind: typeof EntryMessage.answer;
        readonly status: number;
        readonly contentType: string;
        readonly body: Uint8Array;
        readonly replayed: boolean;
      }
    | { readonly kind: typeof EntryMessage.refused; readonly refusal: Refusal }
  );
