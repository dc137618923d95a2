import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { ChatPart, ChatStream, Refusal } from '@currantdrift/node';
import { err, ok, type Result } from 'neverthrow';
import { problemBody, problemOf } from './problem';

/** What the chunks of an answer have in common. */
export interface AnswerHead {
  readonly requestId: string;
  readonly model: string;
  /** Seconds since the epoch. */
  readonly created: number;
}

/** Whole answer of a request without streaming. */
export interface WholeAnswer {
  readonly text: string;
  readonly finishReason: 'stop' | 'length';
  readonly total: number;
}

/** Collects a stream into a whole answer. */
export const collectAnswer = async (stream: ChatStream): Promise<Result<WholeAnswer, Refusal>> => {
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

/** Body of a whole answer in the shape of OpenAI's chat completions. */
export const wholeBody = (head: AnswerHead, answer: WholeAnswer) => ({
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

/** Text of one server-sent event. */
const event = (value: unknown): string => `data: ${JSON.stringify(value)}\n\n`;

/** Makes the events of one answer; the text around the content is prepared once per answer. */
const chunkWriter = (head: AnswerHead) => {
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

/** Waits until a slow caller has taken what was written, or has gone. */
const drained = async (response: ServerResponse): Promise<void> => {
  const waiting = new AbortController();
  await Promise.race([
    once(response, 'drain', { signal: waiting.signal }),
    once(response, 'close', { signal: waiting.signal }),
  ]).catch(() => {});
  waiting.abort();
};

/**
 * Writes an answer as server-sent events. The status line is sent with the first part, so that a
 * refusal before it has a status of its own, which is returned for the caller to send.
 */
export const writeAnswer = async (
  response: ServerResponse,
  head: AnswerHead,
  stream: ChatStream,
): Promise<Result<void, Refusal>> => {
  const write = chunkWriter(head);
  for await (const part of stream) {
    if (response.destroyed) return ok(undefined);
    if (part.isErr() && !response.headersSent) return err(part.error);
    if (!response.headersSent) response.writeHead(200, eventStreamHeaders);
    const text = part.isErr()
      ? event(problemBody(problemOf(part.error), head.requestId))
      : write(part.value);
    if (!response.write(text)) await drained(response);
  }
  response.end();
  return ok(undefined);
};
