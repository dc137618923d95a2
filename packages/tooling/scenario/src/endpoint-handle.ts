import {
  type CacheEvent,
  type Clock,
  type Endpoint,
  type EndpointReport,
  type Failure,
  FailureKind,
  type GenerationRequest,
  type Order,
  type ServiceCallResponse,
  type ServiceCallRequest,
  type StreamPart,
} from '@currantdrift/core';
import type { Process } from '@currantdrift/fakes';
import { err, type Result } from 'neverthrow';
import type { Links } from './links';

/** Time after which a connection attempt to a cut endpoint fails, in ms. */
const connectTimeoutMs = 1_000;

/** Resolves when the signal aborts; `undo` removes the listener. */
const whenAborted = (signal: AbortSignal): { promise: Promise<'aborted'>; undo: () => void } => {
  let undo = () => {};
  const promise = new Promise<'aborted'>((resolve) => {
    const onAbort = () => resolve('aborted');
    undo = () => signal.removeEventListener('abort', onAbort);
    if (signal.aborted) resolve('aborted');
    else signal.addEventListener('abort', onAbort, { once: true });
  });
  return { promise, undo };
};

export interface EndpointHandleOptions {
  readonly target: Endpoint;
  readonly daemon: string;
  readonly process: Process;
  readonly links: Links;
  readonly clock: Clock;
  /** False: a lost answer looks as if nothing had been sent. */
  readonly tellsKinds: boolean;
  /** False: the endpoint's word that it is leaving is not passed on. */
  readonly tellsLeaving: boolean;
  /** Called for each call that reaches the endpoint, with the time at which it was sent. */
  readonly onArrival: (sentAt: number) => void;
  /** Called before an order leaves the daemon. */
  readonly onOrder: () => void;
}

/** An endpoint as one daemon reaches it. */
export class EndpointHandle implements Endpoint {
  readonly id: string;

  readonly domain: string;

  readonly pool: string;

  readonly fencing: boolean;

  private constructor(private readonly options: EndpointHandleOptions) {
    const { target } = options;
    this.id = target.id;
    this.domain = target.domain;
    this.pool = target.pool;
    this.fencing = target.fencing;
  }

  static create(options: EndpointHandleOptions): EndpointHandle {
    return new EndpointHandle(options);
  }

  async generate(
    generation: GenerationRequest,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Result<StreamPart, Failure>>, Failure>> {
    const line = this.line();
    const ended = AbortSignal.any([signal, this.options.process.dead]);
    const opened = await this.carry('generate', line, ended, (target) =>
      target.generate(generation, ended),
    );
    return opened.map((parts) => this.read(parts, line, ended));
  }

  call(
    call: ServiceCallRequest,
    signal: AbortSignal,
  ): Promise<Result<ServiceCallResponse, Failure>> {
    return this.carry('call', this.line(), signal, (target) => target.call(call, signal));
  }

  order(order: Order, signal: AbortSignal): Promise<Result<void, Failure>> {
    this.options.onOrder();
    return this.carry('order', this.line(), signal, (target) => target.order(order, signal));
  }

  async report(signal: AbortSignal): Promise<Result<EndpointReport, Failure>> {
    const report = await this.carry('report', this.line(), signal, (target) =>
      target.report(signal),
    );
    return this.options.tellsLeaving
      ? report
      : report.map((value) => ({ ...value, state: 'live' }));
  }

  cacheEvents(after: number, signal: AbortSignal): Promise<Result<readonly CacheEvent[], Failure>> {
    return this.carry('cacheEvents', this.line(), signal, (target) =>
      target.cacheEvents(after, signal),
    );
  }

  async cancel(requestId: string, attempt: number): Promise<void> {
    const { process, target } = this.options;
    await process.gate(async () => {
      if (this.isCut()) return;
      const sentAt = this.options.clock.now();
      await target.cancel(requestId, attempt);
      this.options.onArrival(sentAt);
    });
  }

  private line(): AbortSignal {
    const { links, daemon } = this.options;
    return links.line(daemon, this.id);
  }

  private isCut(): boolean {
    const { links, daemon } = this.options;
    return links.isCut(daemon, this.id);
  }

  /** Carries a call; once its line is silent, it ends only when `signal` aborts. */
  private async carry<T>(
    call: string,
    line: AbortSignal,
    signal: AbortSignal,
    run: (target: Endpoint) => Promise<Result<T, Failure>>,
  ): Promise<Result<T, Failure>> {
    const { clock, process, target } = this.options;
    return process.gate(async () => {
      if (this.isCut()) {
        await clock.sleep(connectTimeoutMs);
        return err(this.failure(call, FailureKind.unreachable, 'no connection'));
      }
      const sentAt = clock.now();
      const silent = whenAborted(line);
      const result = await Promise.race([run(target), silent.promise]);
      silent.undo();
      if (result !== 'aborted') {
        this.options.onArrival(sentAt);
        return this.seen(result);
      }
      await whenAborted(signal).promise;
      return this.seen(err(this.failure(call, FailureKind.unknown, 'the caller gave up')));
    });
  }

  private async *read(
    parts: AsyncIterable<Result<StreamPart, Failure>>,
    line: AbortSignal,
    ended: AbortSignal,
  ): AsyncGenerator<Result<StreamPart, Failure>> {
    const iterator = parts[Symbol.asyncIterator]();
    const release = () => {
      iterator.return?.()?.catch(() => {});
    };
    ended.addEventListener('abort', release, { once: true });
    try {
      for (;;) {
        const silent = whenAborted(line);
        const next = await this.options.process.gate(() =>
          Promise.race([iterator.next(), silent.promise]),
        );
        silent.undo();
        if (next === 'aborted') {
          await whenAborted(ended).promise;
          return;
        }
        if (next.done === true) return;
        const part = this.seen(next.value);
        yield part;
        if (part.isErr()) return;
      }
    } finally {
      ended.removeEventListener('abort', release);
      release();
    }
  }

  private seen<T>(result: Result<T, Failure>): Result<T, Failure> {
    if (this.options.tellsKinds || result.isOk()) return result;
    const isLost = result.error.kind === FailureKind.unknown;
    return isLost ? err({ ...result.error, kind: FailureKind.unreachable }) : result;
  }

  private failure(call: string, kind: FailureKind, message: string): Failure {
    return { kind, step: `endpoint.${call}`, peer: this.id, message };
  }
}
