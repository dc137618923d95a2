import {
  type CacheEvent,
  type Clock,
  type Endpoint,
  type EndpointReport,
  type Failure,
  FailureKind,
  type GenerationRequest,
  type Message,
  type Peers,
  type ServiceCallResponse,
  type StreamPart,
} from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { EntryMessage, type ForwardedChat, type ForwardedPart } from './messages';
import type { ChatRequest } from './request';

export interface DomainEndpointOptions {
  readonly domain: string;
  /** Peer addresses of entry daemons that may serve the request, in the order to try; not empty. */
  readonly addresses: readonly string[];
  readonly peers: Peers;
  readonly clock: Clock;
  readonly request: ChatRequest;
  /** Software version of the engines that may go on with the answer; undefined for a new one. */
  readonly softwareVersion: string | undefined;
}

/** Endpoint id under which another domain is listed among the tried endpoints. */
export const domainEndpointId = (domain: string): string => `domain:${domain}`;

/**
 * Represents another failure domain as an endpoint for one chat request. An entry daemon there
 * chooses the replica. The attempt runner treats the domain like any other endpoint, so that an
 * interrupted stream is resumed.
 */
export class DomainEndpoint implements Endpoint {
  readonly id: string;

  readonly domain: string;

  readonly pool = '';

  readonly fencing = false;

  /** Software version of the engine that answers, once the other domain has stated it. */
  softwareVersion: string | undefined;

  private constructor(private readonly options: DomainEndpointOptions) {
    this.id = domainEndpointId(options.domain);
    this.domain = options.domain;
  }

  static create(options: DomainEndpointOptions): DomainEndpoint {
    return new DomainEndpoint(options);
  }

  async generate(
    generation: GenerationRequest,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Result<StreamPart, Failure>>, Failure>> {
    const { addresses, peers } = this.options;
    const message = this.toForwardedChat(generation);
    let last = this.failure(FailureKind.unreachable, 'no entry daemon is known');
    for (const address of addresses) {
      const stream = await peers.openStream(address, message, signal);
      if (stream.isOk()) return ok(this.readParts(stream.value.parts, generation));
      last = stream.error;
      // The next daemon may be tried only if this one did not receive the request.
      if (last.kind !== FailureKind.unreachable) break;
    }
    return err(last);
  }

  call(): Promise<Result<ServiceCallResponse, Failure>> {
    return this.unsupported('call');
  }

  order(): Promise<Result<void, Failure>> {
    return this.unsupported('order');
  }

  report(): Promise<Result<EndpointReport, Failure>> {
    return this.unsupported('report');
  }

  cacheEvents(): Promise<Result<readonly CacheEvent[], Failure>> {
    return this.unsupported('cacheEvents');
  }

  async cancel(): Promise<void> {
    // Nothing to do: aborting the stream's signal ends the request at the peer.
  }

  private toForwardedChat(generation: GenerationRequest): ForwardedChat {
    const { request, clock, softwareVersion } = this.options;
    const { temperature, seed } = request;
    return {
      kind: EntryMessage.chat,
      requestId: request.requestId,
      caller: request.caller.name,
      item: request.item,
      messages: [...request.messages],
      maxTokens: request.maxTokens,
      priority: request.priority,
      deadlineMs: Math.max(1, request.deadline - clock.now()),
      resume: [...generation.resume],
      ...(softwareVersion === undefined ? {} : { softwareVersion }),
      ...(temperature === undefined ? {} : { temperature }),
      ...(seed === undefined ? {} : { seed }),
      ...(generation.traceparent === undefined ? {} : { traceparent: generation.traceparent }),
    };
  }

  private async *readParts(
    parts: AsyncIterable<Result<Message, Failure>>,
    { requestId, attempt }: GenerationRequest,
  ): AsyncGenerator<Result<StreamPart, Failure>> {
    for await (const part of parts) {
      if (part.isErr()) {
        yield err(part.error);
        return;
      }
      const message = part.value as ForwardedPart;
      switch (message.kind) {
        case EntryMessage.tokens:
          this.softwareVersion ??= message.softwareVersion;
          yield ok({
            kind: 'tokens',
            requestId,
            attempt,
            offset: message.offset,
            tokens: message.tokens,
          });
          break;
        case EntryMessage.end:
          yield ok({
            kind: 'end',
            requestId,
            attempt,
            offset: message.offset,
            finishReason: message.finishReason,
          });
          return;
        case EntryMessage.refused:
          yield err(this.failureOf(message));
          return;
        default:
          yield err(
            this.failure(FailureKind.invalid, 'the peer sent a stream part of unknown kind'),
          );
          return;
      }
    }
  }

  private failureOf({ refusal }: Extract<ForwardedPart, { kind: 'entry.refused' }>): Failure {
    const kind = refusal.outcome === 'not_run' ? FailureKind.refused : FailureKind.unknown;
    const { retryAfterMs } = refusal;
    return {
      ...this.failure(kind, refusal.message),
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    };
  }

  private failure(kind: FailureKind, message: string): Failure {
    return { kind, step: 'peer.chat', peer: this.domain, message };
  }

  private async unsupported<T>(what: string): Promise<Result<T, Failure>> {
    return err(this.failure(FailureKind.refused, `a domain endpoint does not support ${what}`));
  }
}
