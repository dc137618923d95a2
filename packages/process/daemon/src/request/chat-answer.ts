import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { ChatPart, ChatStream, Refusal } from '@currantdrift/node';
import { err, ok, type Result } from 'neverthrow';
import { problemBody, problemOf } from './problem';

/** Fields that all chunks of an answer share. */
export interface AnswerHead {
  readonly requestId: string;
  readonly model: string;
  /** Seconds since the epoch. */
  readonly created: number;
}

/** Complete answer to a request without streaming. */
export interface CompleteAnswer {
  readonly text: string;
  readonly finishReason: 'stop' | 'length';
  readonly total: number;
}

/** Collects a stream into a complete answer. */
export const collectAnswer = async (
  stream: ChatStream,
): Promise<Result<CompleteAnswer, Refusal>> => {
  const tokens: string[] = [];
  for await (const part of stream) {
    if (part.isErr()) return err(part.error);
    if (part.value.kind === 'end') {
      const { finishReason, total } = part.value;
      return ok({ text: tokens.join(''), finishReason, total });
    }
    tokens.push(...part.value.tokens);
  }
  throw new Error('the stream ended without an end part or a refusal');
};

/** Response body of a complete answer in the format of OpenAI's chat completions. */
export const completionBody = (head: AnswerHead, answer: CompleteAnswer) => ({
  id: head.requestId,
  object: 'chat.completion',
  created: head.created,
  model: head.model,
  choices: [
    {
      index: 0,
      message: { role: 'assistant', content: answer.text },
      finish_reason: answer.finishReason,
    },
  ],
  usage: { completion_tokens: answer.total },
});

/** Formats a value as a server-sent event. */
const formatEvent = (value: unknown): string => `data: ${JSON.stringify(value)}\n\n`;

/**
 * Returns a function that formats parts of an answer as events; fields common to all are serialized
 * once.
 */
const createChunkFormatter = (head: AnswerHead) => {
  const common = JSON.stringify({
    id: head.requestId,
    object: 'chat.completion.chunk',
    created: head.created,
    model: head.model,
  }).slice(0, -1);
  const chunk = (delta: string, finish: string) =>
    `data: ${common},"choices":[{"index":0,"delta":${delta},"finish_reason":${finish}}]}\n\n`;
  return (part: ChatPart): string =>
    part.kind === 'tokens'
      ? chunk(`{"content":${JSON.stringify(part.tokens.join(''))}}`, 'null')
      : `${chunk('{}', JSON.stringify(part.finishReason))}data: [DONE]\n\n`;
};

const eventStreamHeaders = {
  'Content-Type': 'text/event-stream; charset=utf-8',
  'Cache-Control': 'no-store',
  Connection: 'keep-alive',
};

/** Waits until the response's buffer has drained or the connection has closed. */
const waitForDrain = async (response: ServerResponse): Promise<void> => {
  const waiting = new AbortController();
  await Promise.race([
    once(response, 'drain', { signal: waiting.signal }),
    once(response, 'close', { signal: waiting.signal }),
  ]).catch(() => {});
  waiting.abort();
};

/**
 * Writes an answer as server-sent events. The status line is sent with the first part; a refusal
 * before that is returned instead, so that it can be sent with its own status.
 */
export const writeAnswer = async (
  response: ServerResponse,
  head: AnswerHead,
  stream: ChatStream,
): Promise<Result<void, Refusal>> => {
  const write = createChunkFormatter(head);
  for await (const part of stream) {
    if (response.destroyed) return ok(undefined);
    if (part.isErr() && !response.headersSent) return err(part.error);
    if (!response.headersSent) response.writeHead(200, eventStreamHeaders);
    const text = part.isErr()
      ? formatEvent(problemBody(problemOf(part.error), head.requestId))
      : write(part.value);
    if (!response.write(text)) await waitForDrain(response);
  }
  response.end();
  return ok(undefined);
};
