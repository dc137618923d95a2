import type { Message } from '@currantdrift/core';
import { z } from 'zod';
import type { Refusal } from './refusal';

/** Kinds of messages with which daemons of different domains forward callers' requests. */
export const EntryMessage = {
  /** Opens a stream for a chat request to be served in the receiver's domain. */
  chat: 'entry.chat',
  /** A call of a plain service to be served in the receiver's domain. */
  call: 'entry.call',
  tokens: 'entry.tokens',
  end: 'entry.end',
  refused: 'entry.refused',
  answer: 'entry.answer',
} as const;

/** Fields of every forwarded request. Times are relative because the clocks of hosts differ. */
const forwarded = {
  requestId: z.string().min(1),
  /** The caller's name in the bundle. */
  caller: z.string().min(1),
  priority: z.int().min(0).max(9),
  deadlineMs: z.number().positive(),
  traceparent: z.string().optional(),
};

/** A forwarded chat request. */
export const forwardedChatSchema = z.object({
  kind: z.literal(EntryMessage.chat),
  ...forwarded,
  /** Name of the item without a version, which the receiver takes from its own bundle. */
  item: z.string().min(1),
  messages: z.array(
    z.object({ role: z.enum(['system', 'user', 'assistant']), content: z.string() }),
  ),
  maxTokens: z.int().positive(),
  temperature: z.number().optional(),
  seed: z.int().optional(),
  /** Tokens that the caller has already received. */
  resume: z.array(z.string()),
  /** Software version of the engine that wrote them; absent if it is not known. */
  softwareVersion: z.string().optional(),
});

export type ForwardedChat = z.infer<typeof forwardedChatSchema>;

/** Parts of the answer to a forwarded chat request. */
export type ForwardedPart = Message &
  (
    | {
        readonly kind: typeof EntryMessage.tokens;
        readonly offset: number;
        readonly tokens: readonly string[];
        /** Software version of the engine that wrote the first tokens; absent if it is not known. */
        readonly softwareVersion?: string;
      }
    | {
        readonly kind: typeof EntryMessage.end;
        readonly offset: number;
        readonly finishReason: 'stop' | 'length';
      }
    | { readonly kind: typeof EntryMessage.refused; readonly refusal: Refusal }
  );

/** A forwarded call of a plain service. */
export const forwardedCallSchema = z.object({
  kind: z.literal(EntryMessage.call),
  ...forwarded,
  service: z.string().min(1),
  call: z.string().min(1),
  method: z.string().min(1),
  query: z.string(),
  contentType: z.string(),
  body: z.custom<Uint8Array>((value) => value instanceof Uint8Array, 'expected bytes'),
  idempotencyKey: z.string().optional(),
});

export type ForwardedCall = z.infer<typeof forwardedCallSchema>;

/** Answer to a forwarded call. */
export type ForwardedAnswer = Message &
  (
    | {
        readonly kind: typeof EntryMessage.answer;
        readonly status: number;
        readonly contentType: string;
        readonly body: Uint8Array;
        readonly replayed: boolean;
        /** Absent for false. */
        readonly endsWithConnection?: boolean;
      }
    | { readonly kind: typeof EntryMessage.refused; readonly refusal: Refusal }
  );
