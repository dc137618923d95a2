import {
  type CacheEvent,
  type Clock,
  type Endpoint,
  type EndpointReport,
  type Failure,
  FailureKind,
  type HostState,
  type ServiceCallResponse,
  type ServiceCallRequest,
  type StreamPart,
} from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { type AnswerFaults, type EndpointRun, noAnswerFaults } from './endpoint-run';

export interface ServiceOptions {
  readonly id: string;
  readonly domain: string;
  readonly pool: string;
  /** Time from the start of a call to its answer, in ms. */
  readonly callMs: number;
  /** Calls that run at once. */
  readonly slots: number;
}

/** A plain service in memory. It runs every call that reaches it; it knows no idempotency. */
export class FakeService implements Endpoint {
  readonly answers: AnswerFaults = { ...noAnswerFaults };

  /** Calls a second that it says it takes; undefined for no limit. */
  requestLimitPerS: number | undefined;

  state: HostState = 'live';

  readonly fencing = false;

  /** Called for each call that starts to run. */
  onRun: (run: EndpointRun) => void = () => {};

  private sequence = 0;

  private running = 0;

  private constructor(
    readonly options: ServiceOptions,
    private readonly clock: Clock,
  ) {}

  static create(
    clock: Clock,
    options: Partial<ServiceOptions> & Pick<ServiceOptions, 'id' | 'domain' | 'pool'>,
  ): FakeService {
    return new FakeService({ callMs: 200, slots: 16, ...options }, clock);
  }

  get id(): string {
    return this.options.id;
  }

  get domain(): string {
    return this.options.domain;
  }

  get pool(): string {
    return this.options.pool;
  }

  async call(call: ServiceCallRequest): Promise<Result<ServiceCallResponse, Failure>> {
    const { requestId, service, idempotencyKey } = call;
    this.onRun({
      at: this.clock.now(),
      endpoint: this.id,
      requestId,
      item: service,
      ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    });
    this.running += 1;
    await this.clock.sleep(this.options.callMs + this.answers.lateMs);
    this.running -= 1;
    if (this.answers.lost) return err(this.failure('call', 'the answer was lost'));
    return ok({ status: 200, contentType: call.contentType, body: call.body });
  }

  async report(): Promise<Result<EndpointReport, Failure>> {
    this.sequence += 1;
    return ok({
      endpoint: this.id,
      bootId: `${this.id}-boot-1`,
      sequence: this.sequence,
      state: this.state,
      epoch: 0,
      memoryBytes: 0,
      items: [],
      cached: [],
      running: this.running,
      waiting: 0,
      slots: this.options.slots,
      ...(this.requestLimitPerS !== undefined && { requestLimitPerS: this.requestLimitPerS }),
    });
  }

  async generate(): Promise<Result<AsyncIterable<Result<StreamPart, Failure>>, Failure>> {
    return err({ ...this.failure('generate', 'not an engine'), kind: FailureKind.refused });
  }

  async order(): Promise<Result<void, Failure>> {
    return err({ ...this.failure('order', 'not an engine'), kind: FailureKind.refused });
  }

  async cacheEvents(): Promise<Result<readonly CacheEvent[], Failure>> {
    return ok([]);
  }

  async cancel(): Promise<void> {
    // A plain call cannot be cancelled.
  }

  private failure(call: string, message: string): Failure {
    return { kind: FailureKind.unknown, step: `endpoint.${call}`, peer: this.id, message };
  }
}
