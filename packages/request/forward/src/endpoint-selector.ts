import { requestKey } from '@currantdrift/core';
import type { EndpointRecord } from '@currantdrift/fleet';
import { isRequestSubject } from '@currantdrift/quarantine';
import type { RoomNeed } from '@currantdrift/routing';
import { type ClientRequest, expectedWork } from './client-request';
import type { NoEndpoint, SelectedEndpoint } from './endpoint-selection';
import type { ForwardContext } from './forward-context';
import { PermitWait } from './permit-wait';
import { WaitPart } from './request-times';
import { notQueued, type RoomLevel } from './reserve-attempt';
import type { StreamPosition } from './send';

const promptReason = 'the prompt contains parts that crash engines';
const requestReason = 'the request crashes engines';
const versionReason = 'no endpoint of the software version that began the stream can go on with it';

/**
 * Selects an endpoint for a request. A request for a model that no engine holds waits for the
 * controller to load it, as long as the controller expects the model to be ready in time.
 */
export class EndpointSelector {
  /**
   * Whether the last search found only endpoints without room: with too many prompt tokens waiting for
   * prefill, or full where the deployment has admission control.
   */
  private hasNoRoom = false;

  /** Whether the last search found only endpoints of a version at which no stream may begin yet. */
  private isSettling = false;

  /** Time at which the first pause ends, if the last search found only paused endpoints. */
  private pauseEndsAt: number | undefined;

  /** The wait for a permit, while only endpoints that limit their requests can serve the request. */
  private readonly permitWait: PermitWait;

  private constructor(
    private readonly context: ForwardContext,
    private readonly request: ClientRequest,
    private readonly gone: AbortSignal,
    private readonly position: Pick<StreamPosition, 'softwareVersion'>,
  ) {
    this.permitWait = PermitWait.create(context);
  }

  static create(
    context: ForwardContext,
    request: ClientRequest,
    gone: AbortSignal,
    position: Pick<StreamPosition, 'softwareVersion'>,
  ): EndpointSelector {
    return new EndpointSelector(context, request, gone, position);
  }

  /** Endpoints in `tried` are selected only if no other can serve the request. */
  async select(tried: ReadonlySet<string>): Promise<SelectedEndpoint | NoEndpoint> {
    const { clock, settings } = this.context;
    let nextRequestAt = -Infinity;
    for (;;) {
      const now = clock.now();
      const ended = this.checkEnd(tried, now);
      if (ended !== undefined) return ended;
      const selected = await this.reserveOrQueue(tried, now);
      if (selected !== undefined) return selected;
      if (this.pauseEndsAt !== undefined) return this.refuseDuringPause(this.pauseEndsAt, now);
      if (this.context.stopping.aborted) return this.refuseDuringStop();
      if (this.hasNoRoom) {
        await clock.sleep(settings.prefillPollMs, this.gone);
        continue;
      }
      if (this.isSettling) {
        await this.awaitChange(now + settings.settlingPollMs);
        continue;
      }
      const permitted = await this.tryPermit(tried, now);
      if (permitted !== undefined) return permitted;
      if (this.isPermittedOnTime()) {
        await this.awaitChange(Infinity);
        continue;
      }
      if (now >= nextRequestAt) {
        const refusal = await this.requestLoad(clock.now());
        this.addLoadWait(now);
        if (refusal !== undefined) return refusal;
        nextRequestAt = clock.now() + settings.loadRequestIntervalMs;
        continue;
      }
      await this.awaitChange(nextRequestAt);
      this.addLoadWait(now);
    }
  }

  private addLoadWait(since: number): void {
    this.request.times.addWait(WaitPart.load, this.context.clock.now() - since);
  }

  /** Why the request has ended before an endpoint was selected; undefined if it has not. */
  private checkEnd(tried: ReadonlySet<string>, now: number): NoEndpoint | undefined {
    const { settings } = this.context;
    const forbidden = this.checkForbidden(tried, now);
    if (forbidden !== undefined) return forbidden;
    if (this.position.softwareVersion !== undefined && this.usableEndpoints(now).length === 0) {
      const { defaultRetryAfterMs: retryAfterMs } = settings;
      return { kind: 'refused', reason: versionReason, retryAfterMs };
    }
    if (now + settings.minTimeLeftMs < this.request.firstByteDeadline) return undefined;
    const retryAfterMs = settings.defaultRetryAfterMs;
    return { kind: 'expired', reason: 'the time left is too short', retryAfterMs };
  }

  /** Why the request must not be sent, whatever time is left. */
  private checkForbidden(tried: ReadonlySet<string>, now: number): NoEndpoint | undefined {
    if (this.gone.aborted) {
      return { kind: 'gone', reason: 'the client disconnected', retryAfterMs: 0 };
    }
    if (tried.size === 0 && !this.mayBegin(now)) return this.refuseDuringStop();
    return this.checkAuthorization(now) ?? this.checkQuarantine(now);
  }

  /** Whether the process may still take the request, which may have waited since it arrived. */
  private mayBegin(now: number): boolean {
    const { closing, stop } = this.context;
    return !closing.aborted && stop.takes(expectedWork(this.request), now);
  }

  /** Refuses the request if its API key was withdrawn, or cannot be verified any more. */
  private checkAuthorization(now: number): NoEndpoint | undefined {
    const refusal = this.context.authorizer.recheck(this.request.authorized, now);
    if (refusal === undefined) return undefined;
    const { status, reason, retryAfterMs = 0 } = refusal;
    return { kind: 'refused', status, reason, retryAfterMs };
  }

  /** Refuses the request if it, or its prompt, is known to crash engines. */
  private checkQuarantine(now: number): NoEndpoint | undefined {
    const { crashes, telemetry } = this.context;
    const { service, digest } = this.request;
    const { promptParts } = this.request.fields;
    const quarantine = crashes.find({ service, promptParts, digest }, now);
    if (quarantine === undefined) return undefined;
    telemetry.count('currantdrift_quarantined_requests_total');
    const reason = quarantine.parts.some(isRequestSubject) ? requestReason : promptReason;
    return { kind: 'refused', reason, retryAfterMs: quarantine.leftMs };
  }

  /** Reserves a place; with admission control, once it is the request's turn and there is room. */
  private async reserveOrQueue(
    tried: ReadonlySet<string>,
    now: number,
  ): Promise<SelectedEndpoint | NoEndpoint | undefined> {
    const { admission, stopping } = this.context;
    const reachable = admission.isEnabled ? this.reachableEndpoints(now) : [];
    // Clients choose the names of models, so queues are kept only for those that endpoints hold.
    if (reachable.length === 0) return this.tryReserve(tried, now, 'any');
    const tooLarge = admission.checkFit(reachable, this.demand(now));
    if (tooLarge !== undefined) return tooLarge;
    const attempt = (at: number, level: RoomLevel) => this.attempt(tried, at, level);
    return admission.admit(this.request, attempt, tried.size > 0, [this.gone, stopping]);
  }

  private attempt(
    tried: ReadonlySet<string>,
    now: number,
    level: RoomLevel,
  ): SelectedEndpoint | typeof notQueued | undefined {
    if (this.checkEnd(tried, now) !== undefined) return notQueued;
    const selected = this.tryReserve(tried, now, level);
    return selected === undefined && !this.hasNoRoom ? notQueued : selected;
  }

  /** Reserves a place at an endpoint that does not limit its requests. */
  private tryReserve(
    tried: ReadonlySet<string>,
    now: number,
    level: RoomLevel,
  ): SelectedEndpoint | undefined {
    const { directory } = this.context;
    const reachable = this.reachableEndpoints(now);
    this.isSettling = reachable.length === 0 && this.hasSettlingEndpoint(now);
    const notPaused = reachable.filter(({ id }) => directory.pausedUntil(id) <= now);
    const pauseEnds = reachable.map(({ id }) => directory.pausedUntil(id));
    const allPause = reachable.length > 0 && notPaused.length === 0;
    this.pauseEndsAt = allPause ? Math.min(...pauseEnds) : undefined;
    const unlimited = notPaused.filter((record) => directory.limits.rate(record) === undefined);
    const records = EndpointSelector.preferUntried(this.withRoom(unlimited, level, now), tried);
    const selected = this.reserve(records, this.prefillLimit(now), now);
    this.hasNoRoom = selected === undefined && unlimited.length > 0;
    return selected;
  }

  private withRoom(
    records: readonly EndpointRecord[],
    level: RoomLevel,
    now: number,
  ): readonly EndpointRecord[] {
    const { admission, balancer } = this.context;
    if (!admission.isEnabled) return records;
    // An endpoint that fails what it gets always has room, so it is left out first.
    const sound = records.filter(
      ({ id }) => !balancer.isEjected(id, now) && !balancer.isUnreachable(id, now),
    );
    const usable = sound.length > 0 ? sound : records;
    return admission.withRoom(usable, this.demand(now), level, now);
  }

  private demand(now: number): RoomNeed {
    return this.context.admission.demandOf(this.request, this.prefillLimit(now), now);
  }

  /** Endpoints that can serve the request, or go on with its stream. */
  private usableEndpoints(now: number): readonly EndpointRecord[] {
    const { softwareVersion } = this.position;
    const holders = this.holders(now);
    return softwareVersion === undefined
      ? holders.filter((record) => this.mayBeginAt(record))
      : holders.filter((record) => record.softwareVersion === softwareVersion);
  }

  /** Endpoints that hold what the request needs. */
  private holders(now: number): readonly EndpointRecord[] {
    const { directory } = this.context;
    const { service, fields } = this.request;
    return fields.model === undefined
      ? directory.live(service)
      : directory.replicas(service, fields.model, fields.adapter, now);
  }

  /** Whether a stream that its client may take up can begin at the endpoint; true for other requests. */
  private mayBeginAt({ service, softwareVersion }: EndpointRecord): boolean {
    const { streamVersions } = this.context;
    return !this.request.route.resumable || streamVersions.mayBegin(service, softwareVersion);
  }

  private hasSettlingEndpoint(now: number): boolean {
    const isNew = this.position.softwareVersion === undefined;
    return isNew && this.holders(now).some((record) => !this.mayBeginAt(record));
  }

  /** Usable endpoints that this process can reach. */
  private reachableEndpoints(now: number): readonly EndpointRecord[] {
    const usable = this.usableEndpoints(now);
    if (this.request.fields.model === undefined) return usable;
    // A model can be loaded on another engine, so unreachable engines are not used for it.
    return usable.filter(({ id }) => !this.context.balancer.isUnreachable(id, now));
  }

  private static preferUntried(
    records: readonly EndpointRecord[],
    tried: ReadonlySet<string>,
  ): readonly EndpointRecord[] {
    const untried = records.filter(({ id }) => !tried.has(id));
    return untried.length > 0 ? untried : records;
  }

  private reserve(
    records: readonly EndpointRecord[],
    maxUnreadTokens: number,
    now: number,
  ): SelectedEndpoint | undefined {
    if (records.length === 0) return undefined;
    const { directory, balancer, roundTripMs, admission } = this.context;
    const candidates = records.map(({ id, bornAt, slots, domain }) => ({
      id,
      bornAt,
      slots,
      roundTripMs: roundTripMs(domain),
    }));
    const { fields } = this.request;
    // Without a model nothing is prefilled, whatever the request states.
    const promptTokens = fields.model === undefined ? 0 : fields.promptTokens;
    const place = balancer.reserve(candidates, promptTokens, maxUnreadTokens, now);
    const record = place && directory.get(place.endpoint);
    if (place === undefined || record === undefined) return undefined;
    return {
      kind: 'selected',
      record,
      place: admission.isEnabled ? admission.hold(record, this.demand(now), place) : place,
      candidates: candidates.length,
    };
  }

  /**
   * Handles the case that only endpoints which limit their requests can serve this one: reserves a
   * place once it has a permit that may be used. Without models, a request that gets no permit in time
   * is refused at once.
   */
  private async tryPermit(
    tried: ReadonlySet<string>,
    now: number,
  ): Promise<SelectedEndpoint | NoEndpoint | undefined> {
    const { clock, settings } = this.context;
    const limited = this.limitedEndpoints(tried, now);
    const isPlain = this.request.fields.model === undefined;
    if (limited.length === 0) {
      this.permitWait.clear();
      const retryAfterMs = settings.defaultRetryAfterMs;
      return isPlain
        ? { kind: 'refused', reason: 'no endpoint is known', retryAfterMs }
        : undefined;
    }
    const maxWaitMs = this.request.firstByteDeadline - now - settings.minTimeLeftMs;
    await this.permitWait.acquire(limited, maxWaitMs);
    const at = clock.now();
    const forbidden = this.checkForbidden(tried, at);
    if (forbidden !== undefined) return forbidden;
    const selected = this.usePermit(tried, at);
    if (selected !== undefined || !isPlain) return selected;
    const { retryAt, usableAt } = this.permitWait;
    if (retryAt !== undefined) return this.refuseForLimit(retryAt, at);
    if (usableAt !== undefined) await this.awaitChange(usableAt);
    return undefined;
  }

  /** Reserves a place with the permit if it may be used now and its endpoint still takes requests. */
  private usePermit(tried: ReadonlySet<string>, now: number): SelectedEndpoint | undefined {
    const permit = this.permitWait.take(now);
    if (permit === undefined) return undefined;
    const record = this.limitedEndpoints(tried, now).find(({ id }) => id === permit.endpoint);
    const selected = record && this.reserve([record], Infinity, now);
    const waitedMs = this.permitWait.waitedMs(now);
    return selected && { ...selected, permit: { source: permit.source, waitedMs } };
  }

  /** Whether the request has a permit with which it meets the first-byte target of its route. */
  private isPermittedOnTime(): boolean {
    const { arrivedAt, route } = this.request;
    const { usableAt = Infinity } = this.permitWait;
    return usableAt < arrivedAt + route.firstByteTargetMs;
  }

  private limitedEndpoints(tried: ReadonlySet<string>, now: number): readonly EndpointRecord[] {
    const { directory } = this.context;
    const limited = this.reachableEndpoints(now).filter(
      (record) =>
        directory.limits.rate(record) !== undefined && directory.pausedUntil(record.id) <= now,
    );
    return EndpointSelector.preferUntried(limited, tried);
  }

  private refuseForLimit(retryAt: number, now: number): NoEndpoint {
    this.context.telemetry.count('currantdrift_limited_refusals_total');
    const reason = 'all endpoints limit their requests';
    return { kind: 'refused', reason, retryAfterMs: this.context.retrySpread.next(retryAt - now) };
  }

  private refuseDuringStop(): NoEndpoint {
    const retryAfterMs = this.context.settings.shutdownRetryAfterMs;
    return { kind: 'refused', reason: 'this process is shutting down', retryAfterMs };
  }

  /** Refuses the request at once if all replicas ask for a pause. */
  private refuseDuringPause(endsAt: number, now: number): NoEndpoint {
    const reason = 'all endpoints ask for a pause';
    return { kind: 'refused', reason, retryAfterMs: this.context.retrySpread.next(endsAt - now) };
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
    const onTimeLeftMs = arrivedAt + route.firstByteTargetMs - now;
    const loadRequest = {
      service,
      model,
      adapter,
      timeLeftMs,
      onTimeLeftMs,
      priority: this.request.priority,
      limited: this.permitWait.isWaiting,
      request: requestKey(id),
      unreachable,
    };
    const answer = await this.context.waker.wake(loadRequest);
    if (answer.isOk()) return undefined;
    const { kind, message, retryAfterMs } = answer.error;
    // The request has a permit for an engine that limits its requests and is served there.
    if (this.permitWait.usableAt !== undefined) return undefined;
    // Without a controller, the request waits for the next one for a part of its time only.
    const waitedMs = now - arrivedAt;
    const maxWaitMs = this.context.settings.noControllerWaitShare * (firstByteDeadline - arrivedAt);
    if (kind === 'no_controller' && waitedMs < maxWaitMs) return undefined;
    const { retryAt } = this.permitWait;
    return retryAt !== undefined && retryAt - now < retryAfterMs
      ? this.refuseForLimit(retryAt, now)
      : { kind: 'refused', reason: message, retryAfterMs };
  }

  /** Waits for a change of the endpoints, the time of the permit, or until `until`. */
  private awaitChange(until: number): Promise<void> {
    const { usableAt = Infinity } = this.permitWait;
    const endsAt = Math.min(until, usableAt, this.request.firstByteDeadline);
    return this.changed(endsAt - this.context.clock.now());
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
