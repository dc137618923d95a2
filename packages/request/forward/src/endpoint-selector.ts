import { hash32 } from '@currantdrift/core';
import type { EndpointRecord } from '@currantdrift/fleet';
import type { Reservation } from '@currantdrift/routing';
import type { ClientRequest } from './client-request';
import type { ForwardContext } from './forward-context';

/** The endpoint that was selected for a request. */
export interface SelectedEndpoint {
  readonly kind: 'selected';
  readonly record: EndpointRecord;
  readonly place: Reservation;
  readonly candidates: number;
}

/** Why no endpoint was selected. */
export interface NoEndpoint {
  readonly kind: 'refused' | 'expired' | 'gone';
  readonly reason: string;
  /** Time after which a retry by the client may succeed, in ms. */
  readonly retryAfterMs: number;
}

/**
 * Selects an endpoint for a request. A request for a model that no engine holds waits for the
 * controller to load it, as long as the controller expects the model to be ready in time.
 */
export class EndpointSelector {
  /** Whether the last search found only endpoints with too many prompt tokens waiting for prefill. */
  private isPrefillLimited = false;

  /** Time at which the first pause ends, if the last search found only paused endpoints. */
  private pauseEndsAt: number | undefined;

  private constructor(
    private readonly context: ForwardContext,
    private readonly request: ClientRequest,
    private readonly gone: AbortSignal,
  ) {}

  static create(
    context: ForwardContext,
    request: ClientRequest,
    gone: AbortSignal,
  ): EndpointSelector {
    return new EndpointSelector(context, request, gone);
  }

  /** Endpoints in `tried` are selected only if no other can serve the request. */
  async select(tried: ReadonlySet<string>): Promise<SelectedEndpoint | NoEndpoint> {
    const { clock, settings } = this.context;
    let nextRequestAt = -Infinity;
    for (;;) {
      const now = clock.now();
      if (this.gone.aborted)
        return { kind: 'gone', reason: 'the client disconnected', retryAfterMs: 0 };
      if (now + settings.minTimeLeftMs >= this.request.firstByteDeadline) {
        const retryAfterMs = settings.defaultRetryAfterMs;
        return { kind: 'expired', reason: 'the time left is too short', retryAfterMs };
      }
      const selected = this.tryReserve(tried, now);
      if (selected !== undefined) return selected;
      if (this.pauseEndsAt !== undefined) return this.refuseDuringPause(this.pauseEndsAt, now);
      if (this.context.stopping.aborted) {
        const retryAfterMs = settings.shutdownRetryAfterMs;
        return { kind: 'refused', reason: 'this process is shutting down', retryAfterMs };
      }
      if (this.isPrefillLimited) {
        await clock.sleep(settings.prefillPollMs, this.gone);
        continue;
      }
      if (this.request.fields.model === undefined) {
        const retryAfterMs = settings.defaultRetryAfterMs;
        return { kind: 'refused', reason: 'no endpoint is known', retryAfterMs };
      }
      if (now >= nextRequestAt) {
        const refusal = await this.requestLoad(now);
        if (refusal !== undefined) return refusal;
        nextRequestAt = clock.now() + settings.loadRequestIntervalMs;
        continue;
      }
      await this.changed(Math.min(nextRequestAt, this.request.firstByteDeadline) - now);
    }
  }

  private tryReserve(tried: ReadonlySet<string>, now: number): SelectedEndpoint | undefined {
    const { directory, balancer, roundTripMs } = this.context;
    const { service, fields } = this.request;
    const usable =
      fields.model === undefined
        ? directory.live(service)
        : directory.replicas(service, fields.model, fields.adapter, now);
    // A model can be loaded on another engine, so unreachable engines are not used for it.
    const reachable =
      fields.model === undefined
        ? usable
        : usable.filter(({ id }) => !balancer.isUnreachable(id, now));
    const notPaused = reachable.filter(({ id }) => directory.pausedUntil(id) <= now);
    const pauseEnds = reachable.map(({ id }) => directory.pausedUntil(id));
    const allPause = reachable.length > 0 && notPaused.length === 0;
    this.pauseEndsAt = allPause ? Math.min(...pauseEnds) : undefined;
    const untried = notPaused.filter(({ id }) => !tried.has(id));
    const records = untried.length > 0 ? untried : notPaused;
    const candidates = records.map(({ id, bornAt, slots, domain }) => ({
      id,
      bornAt,
      slots,
      roundTripMs: roundTripMs(domain),
    }));
    const place = balancer.reserve(candidates, fields.promptTokens, this.prefillLimit(now), now);
    this.isPrefillLimited = place === undefined && candidates.length > 0;
    const record = place && directory.get(place.endpoint);
    if (place === undefined || record === undefined) return undefined;
    return { kind: 'selected', record, place, candidates: candidates.length };
  }

  /**
   * Handles the case that all replicas ask for a pause: refuses the request at once and spreads the
   * retries of the clients over some time after the first pause ends.
   */
  private refuseDuringPause(endsAt: number, now: number): NoEndpoint {
    const { minRetrySpreadMs, retrySpreadShare } = this.context.settings;
    const leftMs = endsAt - now;
    const spreadMs = Math.max(minRetrySpreadMs, leftMs * retrySpreadShare);
    const jitter = hash32(this.request.fields.id) / 2 ** 32;
    const retryAfterMs = leftMs + jitter * spreadMs;
    return { kind: 'refused', reason: 'all endpoints ask for a pause', retryAfterMs };
  }

  /**
   * Limit of prompt tokens waiting for prefill at one endpoint. Handles bursts of prompts: engines
   * prefill between the decoding steps of running streams, which pause meanwhile. The limit delays a
   * request for at most a part of its route's first-byte target and does not apply after that.
   */
  private prefillLimit(now: number): number {
    const { maxPrefillTokens, prefillHoldShare } = this.context.settings;
    const { arrivedAt, route } = this.request;
    return now - arrivedAt < prefillHoldShare * route.firstByteTargetMs
      ? maxPrefillTokens
      : Infinity;
  }

  /** Asks the controller to load the model; returns a refusal if it cannot be ready in time. */
  private async requestLoad(now: number): Promise<NoEndpoint | undefined> {
    const { directory, balancer } = this.context;
    const { fields, service, route, firstByteDeadline, arrivedAt } = this.request;
    const { model, adapter, id } = fields;
    if (model === undefined) return undefined;
    const timeLeftMs = firstByteDeadline - now;
    const unreachable = directory
      .replicas(service, model, adapter, now)
      .map(({ id: endpoint }) => endpoint)
      .filter((endpoint) => balancer.isUnreachable(endpoint, now));
    const { priority } = route;
    const onTimeLeftMs = arrivedAt + route.firstByteTargetMs - now;
    const loadRequest = {
      service,
      model,
      adapter,
      timeLeftMs,
      onTimeLeftMs,
      priority,
      request: id,
      unreachable,
    };
    const answer = await this.context.waker.wake(loadRequest);
    if (answer.isOk()) return undefined;
    const { kind, message, retryAfterMs } = answer.error;
    // Without a controller, the request waits for the next one for a part of its time only.
    const waitedMs = now - arrivedAt;
    const maxWaitMs = this.context.settings.noControllerWaitShare * (firstByteDeadline - arrivedAt);
    if (kind === 'no_controller' && waitedMs < maxWaitMs) return undefined;
    return { kind: 'refused', reason: message, retryAfterMs };
  }

  private async changed(longestMs: number): Promise<void> {
    const { clock, directory, stopping } = this.context;
    const done = new AbortController();
    const finish = () => done.abort(null);
    const stopListening = directory.onChange(finish);
    const signals = [this.gone, stopping];
    signals.forEach((signal) => signal.addEventListener('abort', finish, { once: true }));
    await clock.sleep(Math.max(1, longestMs), done.signal);
    stopListening();
    signals.forEach((signal) => signal.removeEventListener('abort', finish));
  }
}
