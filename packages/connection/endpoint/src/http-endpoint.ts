import {
  type CacheEvent,
  type Clock,
  type Endpoint,
  type EndpointReport,
  type Failure,
  FailureKind,
  type GenerationRequest,
  type Host,
  type LimitListener,
  type Order,
  parseStatedLimit,
  type ServiceCallResponse,
  type ServiceCallRequest,
  type StreamPart,
} from '@currantdrift/core';
import {
  type ByteBudget,
  endsWithConnection,
  type Head,
  HttpClient,
  impliesNotRun,
  type WholeAnswer,
  type WholeCall,
} from '@currantdrift/http';
import { err, ok, type Result } from 'neverthrow';
import { cacheEventsSchema, reportSchema } from './schemas';
import type { EndpointSettings } from './settings';
import { readTokenStream } from './token-stream';

/** Response header with the requests per second that the endpoint takes from all daemons together. */
const requestLimitHeader = 'request-limit';

/** Request and response header with the id of the request. */
const requestIdHeader = 'x-request-id';

const jsonHeaders = { 'content-type': 'application/json' };

/** Statuses that an HTTP gateway may return whether or not the service ran the call. */
const gatewayStatuses: readonly number[] = [502, 504];

/** Adapter for one engine or plain service over HTTP. */
export class HttpEndpoint implements Endpoint {
  readonly id: string;

  readonly domain: string;

  readonly pool: string;

  readonly fencing: boolean;

  private constructor(
    private readonly host: Host,
    private readonly client: HttpClient,
    private readonly settings: EndpointSettings,
    private readonly onLimit: LimitListener,
    private readonly clock: Clock,
  ) {
    this.id = host.name;
    this.domain = host.domain;
    this.pool = host.pool;
    this.fencing = host.fencing;
  }

  /**
   * `heldBytes` is shared by all endpoints; `onLimit` receives the request limit that each response
   * states.
   */
  static create(
    host: Host,
    settings: EndpointSettings,
    heldBytes: ByteBudget,
    onLimit: LimitListener,
    clock: Clock,
  ): HttpEndpoint {
    const peer = `${host.name} ${host.address}`;
    const client = HttpClient.create(host.address, peer, { ...settings, heldBytes });
    return new HttpEndpoint(host, client, settings, onLimit, clock);
  }

  async generate(
    generation: GenerationRequest,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Result<StreamPart, Failure>>, Failure>> {
    const step = 'endpoint.generate';
    const { traceparent, ...body } = generation;
    const sentAt = this.clock.now();
    const opened = await this.client.open({
      step,
      method: 'POST',
      path: '/v1/completions',
      headers: traceparent ? { ...jsonHeaders, traceparent } : jsonHeaders,
      body: JSON.stringify(body),
      progressTimeoutMs: this.settings.progressTimeoutMs,
      signal,
    });
    if (opened.isErr()) return err(opened.error);
    this.observe(opened.value, sentAt);
    const own = this.checkRequest(step, opened.value, generation.requestId);
    if (own.isErr()) {
      opened.value.exchange.stop(new Error(own.error.message));
      return err(own.error);
    }
    const { status, headers, exchange } = opened.value;
    if (status === 200 && String(headers['content-type']).startsWith('text/event-stream')) {
      return ok(readTokenStream(generation, exchange, this.client));
    }
    const answer = await this.client.body(step, opened.value);
    return err(
      answer.match(
        (received) => this.client.responseFailure(step, received),
        (failure) => failure,
      ),
    );
  }

  /**
   * Returns any response of the service, whatever its status, except an error body stating that the
   * call did not run (`refused`), and a status of a gateway, or by which callers would take it that the
   * call did not run, without a stated outcome (`unknown`).
   */
  async call(
    call: ServiceCallRequest,
    signal: AbortSignal,
  ): Promise<Result<ServiceCallResponse, Failure>> {
    const step = 'endpoint.call';
    const path = `/calls/${encodeURIComponent(call.service)}/${encodeURIComponent(call.call)}`;
    const headers: Record<string, string> = { [requestIdHeader]: call.requestId };
    if (call.contentType !== '') headers['content-type'] = call.contentType;
    if (call.idempotencyKey !== undefined) headers['idempotency-key'] = call.idempotencyKey;
    if (call.traceparent) headers.traceparent = call.traceparent;
    const answer = await this.exchange(
      {
        step,
        method: call.method,
        path: call.query === '' ? path : `${path}?${call.query}`,
        headers,
        body: call.body.length > 0 ? call.body : undefined,
        signal,
      },
      this.settings.callTimeoutMs,
    );
    return answer
      .andThen((received) => this.checkRequest(step, received, call.requestId).map(() => received))
      .andThen((received) => this.toServiceCallResponse(step, received));
  }

  async order(order: Order, signal: AbortSignal): Promise<Result<void, Failure>> {
    const step = 'endpoint.order';
    const answer = await this.exchange(
      {
        step,
        method: 'POST',
        path: '/control/orders',
        headers: jsonHeaders,
        body: JSON.stringify(order),
        signal,
      },
      this.settings.orderTimeoutMs,
    );
    return answer.andThen((received) =>
      received.status === 200 ? ok(undefined) : err(this.client.responseFailure(step, received)),
    );
  }

  async report(signal: AbortSignal): Promise<Result<EndpointReport, Failure>> {
    const step = 'endpoint.report';
    const answer = await this.exchange(
      { step, method: 'GET', path: '/control/report', signal },
      this.settings.controlTimeoutMs,
    );
    return answer.andThen((received) => this.client.parse(step, reportSchema, received));
  }

  async cacheEvents(
    after: number,
    signal: AbortSignal,
  ): Promise<Result<readonly CacheEvent[], Failure>> {
    const step = 'endpoint.cacheEvents';
    const answer = await this.exchange(
      { step, method: 'GET', path: `/control/cache-events?after=${after}`, signal },
      this.settings.controlTimeoutMs,
    );
    return answer
      .andThen((received) => this.client.parse(step, cacheEventsSchema, received))
      .map(({ events }) => events);
  }

  async cancel(requestId: string, attempt: number): Promise<void> {
    await this.exchange(
      {
        step: 'endpoint.cancel',
        method: 'POST',
        path: '/control/cancel',
        headers: jsonHeaders,
        body: JSON.stringify({ requestId, attempt }),
      },
      this.settings.controlTimeoutMs,
    );
  }

  /** Waits for calls in flight, then closes the connections. */
  close(): Promise<void> {
    return this.client.close();
  }

  /** Sends a call and reads its whole response. */
  private async exchange(
    call: WholeCall,
    timeoutMs: number,
  ): Promise<Result<WholeAnswer, Failure>> {
    const sentAt = this.clock.now();
    const answer = await this.client.whole(call, timeoutMs);
    if (answer.isOk()) this.observe(answer.value, sentAt);
    return answer;
  }

  private observe({ headers }: Head, sentAt: number): void {
    this.onLimit(this.host, parseStatedLimit(headers[requestLimitHeader]), sentAt);
  }

  /** Fails if the response says that it belongs to another request: it is no word on this one. */
  private checkRequest(step: string, { headers }: Head, requestId: string): Result<void, Failure> {
    const answered = headers[requestIdHeader];
    return answered === undefined || answered === requestId
      ? ok(undefined)
      : err(
          this.client.failure(step, FailureKind.unknown, `answer to another request, ${answered}`),
        );
  }

  private toServiceCallResponse(
    step: string,
    answer: WholeAnswer,
  ): Result<ServiceCallResponse, Failure> {
    const { status, headers, body } = answer;
    const reported = this.client.reportedFailure(step, answer);
    if (reported?.kind === FailureKind.refused) return err(reported);
    if (gatewayStatuses.includes(status) || impliesNotRun(status)) {
      const message = `status ${status} without a stated outcome`;
      return err(reported ?? this.client.failure(step, FailureKind.unknown, message));
    }
    const contentType = String(headers['content-type'] ?? '');
    const response = { status, contentType, body: new Uint8Array(body) };
    return ok(endsWithConnection(answer) ? { ...response, endsWithConnection: true } : response);
  }
}
