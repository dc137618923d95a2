import type { ChatMessage } from '@currantdrift/core';
import { err, ok, Result } from 'neverthrow';
import { z } from 'zod';
import { badRequest, type Problem } from './problem';

const textPart = z.strictObject({ type: z.literal('text'), text: z.string() });

const message = z.strictObject({
  role: z.enum(['system', 'user', 'assistant']),
  content: z.union([z.string(), z.array(textPart).min(1)]),
  name: z.string().optional(),
});

const maxTokens = z.int().min(1).max(1_000_000);

const chatSchema = z.strictObject({
  model: z.string().min(1).max(200),
  messages: z.array(message).min(1),
  stream: z.boolean().default(false),
  stream_options: z.strictObject({ include_usage: z.boolean().optional() }).optional(),
  max_tokens: maxTokens.optional(),
  max_completion_tokens: maxTokens.optional(),
  temperature: z.number().min(0).max(2).optional(),
  seed: z.int().optional(),
  n: z.literal(1).optional(),
  user: z.string().optional(),
});

/** Maximum length of an answer if the request specifies none, in tokens. */
const defaultMaxTokens = 1024;

/** The validated body of a chat request. */
export interface ChatBody {
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly stream: boolean;
  readonly maxTokens: number;
  readonly temperature?: number;
  readonly seed?: number;
}

const describeIssue = (issue: z.core.$ZodIssue): string => {
  const path = issue.path.map(String).join('.');
  return path === '' ? issue.message : `${path}: ${issue.message}`;
};

const textOf = (content: z.infer<typeof message>['content']): string =>
  typeof content === 'string' ? content : content.map((part) => part.text).join('');

const parseJson = Result.fromThrowable(
  (bytes: Uint8Array): unknown =>
    JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes)),
  () => badRequest(400, 'malformed_json', 'the body is not JSON in UTF-8'),
);

/** Parses and validates the body of `POST /v1/chat/completions`. */
export const readChatBody = (bytes: Uint8Array): Result<ChatBody, Problem> =>
  parseJson(bytes).andThen((document) => {
    const parsed = chatSchema.safeParse(document);
    if (!parsed.success) {
      const text = parsed.error.issues.map(describeIssue).join('; ');
      return err(badRequest(400, 'invalid_request', text));
    }
    const { data } = parsed;
    return ok({
      model: data.model,
      messages: data.messages.map(({ role, content }) => ({ role, content: textOf(content) })),
      stream: data.stream,
      maxTokens: data.max_completion_tokens ?? data.max_tokens ?? defaultMaxTokens,
      ...(data.temperature === undefined ? {} : { temperature: data.temperature }),
      ...(data.seed === undefined ? {} : { seed: data.seed }),
    });
  });
