import { hash32 } from '@currantdrift/core';
import type { EndpointRecord } from '@currantdrift/fleet';
import type { Reservation } from '@currantdrift/routing';
import type { ClientRequest } from './client-request';
import type { ForwardContext } from './forward-context';

/** Where a request is to be sent. */
export interface Placed {
  readonly kind: 'placed';
  readonly record: EndpointRecord;
  readonly place: Reservation;
  readonly candidates: number;
}

/** Why a request has no endpoint. */
export interface Unplaced {
  readonly kind: 'refused' | 'expired' | 'gone';
  readonly reason: string;
  /** Time after which another try may succeed, in ms. */
  readonly retryAfterMs: number;
}

/**
 * Finds an endpoint for a request. A request for a model that no engine holds waits for the
 * controller to load it, as long as the controller expects that in time.
 */
export class Placement {
  /** Whether the last look found only endpoints with too many unread prompts. */
  private isPaced = false;

  /** Time at which the first endpoint ends its pause, if the last look found only such ones. */
  private pauseEndsAt: number | undefined;

  private constructor(
    private readonly context: ForwardContext,
    private readonly request: ClientRequest,
    private readonly gone: AbortSignal,
  ) {}

  static create(context: ForwardContext, request: ClientRequest, gone: AbortSignal): Placement {
    return new Placement(context, request, gone);
  }

  /** `tried` are endpoints that are used only if no other can serve the request. */
  async find(tried: ReadonlySet<string>): Promise<Placed | Unplaced> {
    const { clock, settings } = this.context;
    let askAt = -Infinity;
    for (;;) {
      const now = clock.now();
      if (this.gone.aborted) return { kind: 'gone', reason: 'client left', retryAfterMs: 0 };
      if (now + settings.minTimeLeftMs >= this.request.firstByteBy) {
        const retryAfterMs = settings.defaultRetryAfterMs;
        return { kind: 'expired', reason: 'no time is left', retryAfterMs };
      }
      const placed = this.take(tried, now);
      if (placed !== undefined) return placed;
      if (this.pauseEndsAt !== undefined) return this.refuseUntil(this.pauseEndsAt, now);
      if (this.context.stopping.aborted) {
        const retryAfterMs = settings.closingRetryAfterMs;
        return { kind: 'refused', reason: 'this process stops', retryAfterMs };
      }
      if (this.isPaced) {
        await clock.sleep(settings.pacingPollMs, this.gone);
        continue;
      }
      if (this.request.fields.model === undefined) {
        const retryAfterMs = settings.defaultRetryAfterMs;
        return { kind: 'refused', reason: 'no endpoint is known', retryAfterMs };
      }
      if (now >= askAt) {
        const refusal = await this.ask(now);
        if (refusal !== undefined) return refusal;
        askAt = clock.now() + settings.askAgainMs;
        continue;
      }
      await this.changed(Math.min(askAt, this.request.firstByteBy) - now);
    }
  }

  private take(tried: ReadonlySet<string>, now: number): Placed | undefined {
    const { directory, choice, roundTripMs } = this.context;
    const { service, fields } = this.request;
    const usable =
      fields.model === undefined
        ? directory.live(service)
        : directory.replicas(service, fields.model, fields.adapter, now);
    // A model can be loaded elsewhere, so an engine that cannot be reached is no choice for it.
    const reachable =
      fields.model === undefined
        ? usable
        : usable.filter(({ id }) => !choice.isUnreachable(id, now));
    const awake = reachable.filter(({ id }) => directory.pausedUntil(id) <= now);
    const pauseEnds = reachable.map(({ id }) => directory.pausedUntil(id));
    const allPause = reachable.length > 0 && awake.length === 0;
    this.pauseEndsAt = allPause ? Math.min(...pauseEnds) : undefined;
    const fresh = awake.filter(({ id }) => !tried.has(id));
    const records = fresh.length > 0 ? fresh : awake;
    const candidates = records.map(({ id, bornAt, slots, domain }) => ({
      id,
      bornAt,
      slots,
      roundTripMs: roundTripMs(domain),
    }));
    const place = choice.reserve(candidates, fields.promptTokens, this.unreadLimit(now), now);
    this.isPaced = place === undefined && candidates.length > 0;
    const record = place && directory.get(place.endpoint);
    if (place === undefined || record === undefined) return undefined;
    return { kind: 'placed', record, place, candidates: candidates.length };
  }

  /**
   * Answers the load pattern "all replicas ask for a pause": requests are refused at once, and their
   * clients come back after the first pause, spread over some time.
   */
  private refuseUntil(endsAt: number, now: number): Unplaced {
    const { leastReturnSpreadMs, returnSpreadShare } = this.context.settings;
    const leftMs = endsAt - now;
    const spreadMs = Math.max(leastReturnSpreadMs, leftMs * returnSpreadShare);
    const part = hash32(this.request.fields.id) / 2 ** 32;
    const retryAfterMs = leftMs + part * spreadMs;
    return { kind: 'refused', reason: 'all endpoints ask for a pause', retryAfterMs };
  }

  /**
   * Prompt tokens that may be unread at one endpoint. Answers the load pattern "prompts arrive in
   * bursts": engines read them between the steps of running streams, which pause meanwhile. A request
   * is held back for a part of the time in which its answer is on time, and is sent then in any case.
   */
  private unreadLimit(now: number): number {
    const { maxUnreadTokens, pacingShare } = this.context.settings;
    const { arrivedAt, route } = this.request;
    return now - arrivedAt < pacingShare * route.firstByteTargetMs ? maxUnreadTokens : Infinity;
  }

  /** Asks the controller for the model; a refusal if it cannot be ready in time. */
  private async ask(now: number): Promise<Unplaced | undefined> {
    const { directory, choice } = this.context;
    const { fields, service, route, firstByteBy, arrivedAt } = this.request;
    const { model, adapter, id } = fields;
    if (model === undefined) return undefined;
    const timeLeftMs = firstByteBy - now;
    const unreachable = directory
      .replicas(service, model, adapter, now)
      .map(({ id: endpoint }) => endpoint)
      .filter((endpoint) => choice.isUnreachable(endpoint, now));
    const { priority } = route;
    const onTimeLeftMs = arrivedAt + route.firstByteTargetMs - now;
    const want = {
      service,
      model,
      adapter,
      timeLeftMs,
      onTimeLeftMs,
      priority,
      request: id,
      unreachable,
    };
    const answer = await this.context.waker.wake(want);
    if (answer.isOk()) return undefined;
    const { kind, message, retryAfterMs } = answer.error;
    // Without a controller the request waits for the next one, as long as much of its time is left.
    const waitedMs = now - arrivedAt;
    const maxWaitMs = this.context.settings.uncontrolledShare * (firstByteBy - arrivedAt);
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
