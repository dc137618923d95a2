import {
  type CacheEvent,
  type Clock,
  type Endpoint,
  type EndpointReport,
  type Failure,
  FailureKind,
  type GenerationRequest,
  type Order,
  type ServiceCallRequest,
  type ServiceCallResponse,
  type StreamPart,
} from '@currantdrift/core';
import type { WatchedSend } from '@currantdrift/quarantine';
import type { Result } from 'neverthrow';

type Parts = AsyncIterable<Result<StreamPart, Failure>>;

export interface WatchedEndpointOptions {
  readonly clock: Clock;
  /** Begins to watch a send; `cancel` ends it. */
  readonly begin: (cancel: (reason: Error) => void) => WatchedSend;
  /** Called if the request may have crashed the engine. */
  readonly onSuspicion: () => void;
}

/** An endpoint for one request that watches whether the request crashes it. */
export class WatchedEndpoint implements Endpoint {
  readonly id: string;

  readonly domain: string;

  readonly pool: string;

  readonly fencing: boolean;

  private constructor(
    private readonly target: Endpoint,
    private readonly options: WatchedEndpointOptions,
  ) {
    this.id = target.id;
    this.domain = target.domain;
    this.pool = target.pool;
    this.fencing = target.fencing;
  }

  static create(target: Endpoint, options: WatchedEndpointOptions): WatchedEndpoint {
    return new WatchedEndpoint(target, options);
  }

  async generate(
    generation: GenerationRequest,
    signal: AbortSignal,
  ): Promise<Result<Parts, Failure>> {
    const cancelled = new AbortController();
    const send = this.options.begin((reason) => cancelled.abort(reason));
    const ended = AbortSignal.any([signal, cancelled.signal]);
    const opened = await this.target.generate(generation, ended);
    if (opened.isOk()) return opened.map((parts) => this.watchParts(parts, send, signal));
    await this.examine(opened.error, send, signal);
    return opened;
  }

  async call(
    call: ServiceCallRequest,
    signal: AbortSignal,
  ): Promise<Result<ServiceCallResponse, Failure>> {
    const { clock, begin } = this.options;
    // A call that was sent is never given up for a quarantine: its caller is owed the outcome.
    const send = begin(() => {});
    const answer = await this.target.call(call, signal);
    if (answer.isOk()) send.complete(clock.now());
    else await this.examine(answer.error, send, signal);
    return answer;
  }

  order(order: Order, signal: AbortSignal): Promise<Result<void, Failure>> {
    return this.target.order(order, signal);
  }

  report(signal: AbortSignal): Promise<Result<EndpointReport, Failure>> {
    return this.target.report(signal);
  }

  cacheEvents(after: number, signal: AbortSignal): Promise<Result<readonly CacheEvent[], Failure>> {
    return this.target.cacheEvents(after, signal);
  }

  cancel(requestId: string, attempt: number): Promise<void> {
    return this.target.cancel(requestId, attempt);
  }

  private async *watchParts(
    parts: Parts,
    send: WatchedSend,
    signal: AbortSignal,
  ): AsyncGenerator<Result<StreamPart, Failure>> {
    const { clock } = this.options;
    send.recordBegin(clock.now());
    try {
      for await (const part of parts) {
        if (part.isErr()) await this.examine(part.error, send, signal);
        else if (part.value.kind === 'end') send.complete(clock.now());
        else send.recordEvent(clock.now());
        yield part;
      }
    } finally {
      send.end();
    }
  }

  private async examine(failure: Failure, send: WatchedSend, signal: AbortSignal): Promise<void> {
    if (failure.kind !== FailureKind.unknown || signal.aborted) {
      send.end();
      return;
    }
    const { clock, onSuspicion } = this.options;
    if (await send.examineBreak(clock.now())) onSuspicion();
  }
}
