import {
  type CacheEvent,
  type Clock,
  type Endpoint,
  type EndpointReport,
  type Failure,
  FailureKind,
  type GenerationRequest,
  type Host,
  type Order,
  type ServiceCallRequest,
  type ServiceCallResponse,
  type StreamPart,
  type Telemetry,
} from '@currantdrift/core';
import { awaitPermit, type RequestPermits } from '@currantdrift/rate-limit';
import { err, ok, type Result } from 'neverthrow';

/** Longest time for which a call waits for its permit, in ms. */
const maxPermitWaitMs = 2_000;

export interface LimitedEndpointOptions {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly permits: RequestPermits;
  /** Requests per second that an endpoint takes from all daemons; undefined if it has no limit. */
  readonly limitOf: (host: Host) => number | undefined;
}

/** Delays each call to an endpoint that limits its requests until a permit allows it. */
export class LimitedEndpoint implements Endpoint {
  readonly id: string;

  readonly domain: string;

  readonly pool: string;

  readonly fencing: boolean;

  private constructor(
    private readonly host: Host,
    private readonly target: Endpoint,
    private readonly options: LimitedEndpointOptions,
  ) {
    this.id = target.id;
    this.domain = target.domain;
    this.pool = target.pool;
    this.fencing = target.fencing;
  }

  static create(host: Host, target: Endpoint, options: LimitedEndpointOptions): LimitedEndpoint {
    return new LimitedEndpoint(host, target, options);
  }

  async generate(
    generation: GenerationRequest,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Result<StreamPart, Failure>>, Failure>> {
    const permitted = await this.awaitPermit('generate', maxPermitWaitMs, signal);
    return permitted.isErr() ? err(permitted.error) : this.target.generate(generation, signal);
  }

  async call(
    call: ServiceCallRequest,
    signal: AbortSignal,
  ): Promise<Result<ServiceCallResponse, Failure>> {
    const permitted = await this.awaitPermit('call', maxPermitWaitMs, signal);
    return permitted.isErr() ? err(permitted.error) : this.target.call(call, signal);
  }

  async order(order: Order, signal: AbortSignal): Promise<Result<void, Failure>> {
    const permitted = await this.awaitPermit('order', maxPermitWaitMs, signal);
    return permitted.isErr() ? err(permitted.error) : this.target.order(order, signal);
  }

  async report(signal: AbortSignal): Promise<Result<EndpointReport, Failure>> {
    const permitted = await this.awaitPermit('report', maxPermitWaitMs, signal);
    return permitted.isErr() ? err(permitted.error) : this.target.report(signal);
  }

  async cacheEvents(
    after: number,
    signal: AbortSignal,
  ): Promise<Result<readonly CacheEvent[], Failure>> {
    const permitted = await this.awaitPermit('cacheEvents', maxPermitWaitMs, signal);
    return permitted.isErr() ? err(permitted.error) : this.target.cacheEvents(after, signal);
  }

  async cancel(requestId: string, attempt: number): Promise<void> {
    // Closing the stream ends the attempt too, so a cancel that finds no place is left out.
    const permitted = await this.awaitPermit('cancel', 0, undefined);
    if (permitted.isOk()) await this.target.cancel(requestId, attempt);
  }

  private async awaitPermit(
    call: string,
    maxWaitMs: number,
    signal: AbortSignal | undefined,
  ): Promise<Result<void, Failure>> {
    const { clock, limitOf, permits, telemetry } = this.options;
    const ratePerS = limitOf(this.host);
    if (ratePerS === undefined) return ok();
    const { name, incarnation: bornAt } = this.host;
    const endpoint = { endpoint: name, bornAt, ratePerS };
    const permitted = await awaitPermit(permits, clock, endpoint, maxWaitMs, signal);
    if (permitted.isErr()) {
      telemetry.count('currantdrift_limited_refusals_total');
      const step = `endpoint.${call}`;
      return err({ kind: FailureKind.refused, step, peer: this.id, ...permitted.error });
    }
    telemetry.count('currantdrift_limited_calls_total', { kind: call });
    return ok();
  }
}
