import { StringDecoder } from 'node:string_decoder';
import {
  type Failure,
  FailureKind,
  type GenerationRequest,
  type StreamPart,
} from '@currantdrift/core';
import { errorSchema, type Exchange, type HttpClient, parseJson } from '@currantdrift/http';
import { createParser, type EventSourceMessage } from 'eventsource-parser';
import { err, ok, type Result } from 'neverthrow';
import { endEventSchema, tokensEventSchema } from './schemas';

const step = 'endpoint.generate';

type ParsedEvent = Result<StreamPart, Failure>;

const readEvent = (event: EventSourceMessage, client: HttpClient): ParsedEvent => {
  const data = parseJson(event.data);
  const tokens = tokensEventSchema.safeParse(data);
  if (tokens.success) {
    const { id, ...rest } = tokens.data;
    return ok({ kind: 'tokens', requestId: id, ...rest });
  }
  const end = endEventSchema.safeParse(data);
  if (end.success) {
    const { id, attempt, offset, end: finishReason } = end.data;
    return ok({ kind: 'end', requestId: id, attempt, offset, finishReason });
  }
  const reported = errorSchema.safeParse(data);
  if (!reported.success) {
    return err(client.failure(step, FailureKind.invalid, 'an event does not follow the protocol'));
  }
  const { message, outcome, retryAfterMs } = reported.data.error;
  const kind = outcome === 'not_run' ? FailureKind.refused : FailureKind.unknown;
  return err(client.failure(step, kind, message, retryAfterMs));
};

/** Turns a refusal into `unknown`: after earlier parts the request has already run. */
const refusalAsUnknown = (part: ParsedEvent): ParsedEvent =>
  part.mapErr((failure) =>
    failure.kind === FailureKind.refused ? { ...failure, kind: FailureKind.unknown } : failure,
  );

/** Joins consecutive token events of the same attempt whose offsets are contiguous. */
const joinTokens = (parts: ParsedEvent[]): ParsedEvent[] => {
  if (parts.length < 2) return parts;
  const joined: ParsedEvent[] = [];
  let open: { requestId: string; attempt: number; offset: number; tokens: string[] } | undefined;
  parts.forEach((part) => {
    if (part.isErr() || part.value.kind !== 'tokens') {
      open = undefined;
      joined.push(part);
      return;
    }
    const { requestId, attempt, offset, tokens } = part.value;
    if (
      open?.requestId === requestId &&
      open.attempt === attempt &&
      open.offset + open.tokens.length === offset
    ) {
      open.tokens.push(...tokens);
      return;
    }
    open = { requestId, attempt, offset, tokens: [...tokens] };
    joined.push(ok({ kind: 'tokens', ...open }));
  });
  return joined;
};

/**
 * Yields the parts of an open token stream. Tokens that arrived together form one part. The iteration
 * ends after the end marker of this attempt or after a failure; ending it earlier closes the
 * connection. Parts of other attempts are passed on unchanged.
 */
export async function* readTokenStream(
  generation: Pick<GenerationRequest, 'requestId' | 'attempt'>,
  exchange: Exchange,
  client: HttpClient,
): AsyncGenerator<Result<StreamPart, Failure>> {
  let parsed: ParsedEvent[] = [];
  const isOwn = (part: ParsedEvent) =>
    part.isOk() &&
    part.value.requestId === generation.requestId &&
    part.value.attempt === generation.attempt;
  let hasOwnParts = false;
  const parser = createParser({ onEvent: (event) => parsed.push(readEvent(event, client)) });
  const decoder = new StringDecoder('utf8');
  try {
    for (;;) {
      const chunk = await exchange.read();
      if (chunk.isErr() || chunk.value === undefined) {
        const message = chunk.isErr() ? chunk.error.message : 'it ended without an end marker';
        yield err(client.failure(step, FailureKind.unknown, `the stream broke: ${message}`));
        return;
      }
      parsed = [];
      parser.feed(decoder.write(chunk.value));
      for (const received of joinTokens(parsed)) {
        const part = hasOwnParts && received.isErr() ? refusalAsUnknown(received) : received;
        hasOwnParts ||= isOwn(part);
        const isLast = part.isErr() || (part.value.kind === 'end' && isOwn(part));
        if (isLast) exchange.drain();
        yield part;
        if (isLast) return;
      }
    }
  } finally {
    if (!exchange.isDraining) exchange.stop(new Error('the reader left the stream before its end'));
  }
}
