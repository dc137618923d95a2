import {
  AdmissionQueues,
  type AdmissionRefusal,
  type AdmissionRequest,
  type Grant,
  type Ticket,
} from '@currantdrift/admission';
import type { Clock, Telemetry } from '@currantdrift/core';
import type { EndpointDirectory, EndpointRecord } from '@currantdrift/fleet';
import type { Configuration } from '@currantdrift/routes';
import {
  EndpointRooms,
  type EndpointCapacity,
  type EndpointLoad,
  type Reservation,
  type RoomNeed,
  RoomState,
} from '@currantdrift/routing';
import type { Result } from 'neverthrow';
import type { ClientRequest } from './client-request';
import type { NoEndpoint, SelectedEndpoint } from './endpoint-selection';
import { notQueued, type ReserveAttempt, type RoomLevel } from './reserve-attempt';
import type { RetrySpread } from './retry-spread';
import { WaitPart } from './request-times';
import { ServiceHistory } from './service-history';

/** Shortest time between two reviews of all queues, and the time without an event to the next, in ms. */
const minServeIntervalMs = 15;
const serveIntervalMs = 50;

/** Requests that may wait in one queue, and in all queues of a process. */
const maxWaitingInQueue = 2_000;
const maxWaiting = 10_000;

/** Requests of one queue that are checked in one review for those that have become too late. */
const reviewSize = 8;

/** Time for which a request is held back from endpoints whose present load is not known, in ms. */
const unknownLoadHoldMs = 100;

/**
 * Share of the time until its target after which a request is sent to a full endpoint if there is no
 * estimate of the wait. Endpoints order what waits there by urgency.
 */
const holdShare = 0.5;

/**
 * Bounds of the requests that may wait at an endpoint when a request of the most urgent priority is
 * sent, as a share of its slots. Between them, the wait that they cause is within the target. Endpoints
 * order the requests of all members by urgency, which no single member can, and their queue keeps a slot
 * that becomes free from idling until members hear of it.
 */
const minQueueShare = 0.25;
const maxQueueShare = 1;

/** Share of the slots that less urgent requests leave to more urgent ones of other members. */
const reservedShare = 0.2;

/** Priority in the queues of the most urgent requests, whose own priority is 0. */
const maxPriority = 9;

/** Retry time of a request that no endpoint can hold, which another configuration may change, in ms. */
export const tooLargeRetryAfterMs = 10_000;

export const tooLargeReason = 'the request needs more memory than an endpoint has';

/** Name under which requests without a customer share the endpoints. */
const anonymousCaller = '';

interface QueuedRequest extends AdmissionRequest {
  readonly request: ClientRequest;
  readonly enqueuedAt: number;
  readonly target: number;
  readonly attempt: ReserveAttempt;
}

type Attempted = SelectedEndpoint | NoEndpoint | typeof notQueued;

export interface AdmissionControlOptions {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly directory: EndpointDirectory;
  readonly rooms: EndpointRooms;
  readonly retrySpread: RetrySpread;
  readonly configuration: () => Configuration | undefined;
  /** Whether the settings ask for admission control. */
  readonly queuesWhenFull: boolean;
}

const levelStates: Readonly<Record<RoomLevel, ReadonlySet<RoomState>>> = {
  free: new Set([RoomState.free]),
  unknown: new Set([RoomState.free, RoomState.unknown]),
  any: new Set([RoomState.free, RoomState.unknown, RoomState.slotsFull, RoomState.prefillFull]),
};

/**
 * Queues in front of the endpoints, one for each service and model. A request waits in the queue while
 * no endpoint that can serve it has room, and is refused once the estimated wait exceeds its time.
 */
export class AdmissionControl {
  private readonly queues: AdmissionQueues<Attempted, QueuedRequest>;

  private readonly histories = new Map<string, ServiceHistory>();

  private waiting = 0;

  private servedAllAt = -Infinity;

  private isServing = false;

  private serveNow = new AbortController();

  private constructor(private readonly options: AdmissionControlOptions) {
    this.queues = AdmissionQueues.create<Attempted, QueuedRequest>(
      (key, request, now) => this.attempt(key, request, now),
      {
        maxWaiting: maxWaitingInQueue,
        maxPerCaller: maxWaitingInQueue,
        reviewSize,
        rateFromRunning: () => !options.rooms.areShared,
      },
      // The release of the place that ends a grant serves the queues that can use it.
      () => {},
    );
    options.directory.onChange(() => this.serveAll());
  }

  static create(options: AdmissionControlOptions): AdmissionControl {
    return new AdmissionControl(options);
  }

  get isEnabled(): boolean {
    return this.options.queuesWhenFull;
  }

  /** Number of requests that wait for room. */
  get waitingRequests(): number {
    return this.waiting;
  }

  /** What the request needs of an endpoint; it waits there for at most a part of its time. */
  demandOf(request: ClientRequest, maxUnreadTokens: number, now: number): RoomNeed {
    const { promptTokens, maxNewTokens } = request.fields;
    const tokens = promptTokens + maxNewTokens;
    return { tokens, promptTokens, maxUnreadTokens, queueShare: this.queueShare(request, now) };
  }

  /** Endpoints of `records` that the request may be sent to. */
  withRoom(
    records: readonly EndpointRecord[],
    demand: RoomNeed,
    level: RoomLevel,
    now: number,
  ): readonly EndpointRecord[] {
    const states = levelStates[level];
    return records.filter((record) =>
      states.has(this.options.rooms.state(this.capacityOf(record), demand, now)),
    );
  }

  /** Takes room at the endpoint of a reservation until its release. */
  hold(record: EndpointRecord, demand: RoomNeed, place: Reservation): Reservation {
    const hold = this.options.rooms.hold(this.capacityOf(record), demand);
    const history = this.historyOf(record.service);
    const startedAt = this.options.clock.now();
    return {
      ...place,
      observeFirstByte: (elapsedMs, now) => {
        place.observeFirstByte(elapsedMs, now);
        hold.markPromptRead();
        history.observeFirstByte(elapsedMs);
        this.serveQueuesOf(record);
      },
      observeLoad: (load, now) => {
        place.observeLoad(load, now);
        hold.observeLoad(load.running + load.waiting, now);
        this.serveQueuesOf(record);
      },
      release: (end, now) => {
        place.release(end, now);
        hold.release();
        if (end === 'served') history.observeAnswer(now - startedAt);
        this.serveQueuesOf(record);
      },
    };
  }

  /** Records the numbers of requests in flight at endpoints, over all members. */
  observeFleetLoads(loads: readonly EndpointLoad[], now: number): void {
    this.options.rooms.observeFleetLoads(loads, now);
    this.serveAll();
  }

  /** The refusal of a request that none of the endpoints can hold; undefined if one can. */
  checkFit(records: readonly EndpointRecord[], demand: RoomNeed): NoEndpoint | undefined {
    if (records.length === 0) return undefined;
    if (records.some((record) => EndpointRooms.fits(this.capacityOf(record), demand))) {
      return undefined;
    }
    return { kind: 'refused', reason: tooLargeReason, retryAfterMs: tooLargeRetryAfterMs };
  }

  /**
   * Waits until `attempt` reserves a place. Undefined if the request waits for something other than
   * room, or one of the signals is aborted.
   */
  async admit(
    request: ClientRequest,
    attempt: ReserveAttempt,
    isRetry: boolean,
    signals: readonly AbortSignal[],
  ): Promise<SelectedEndpoint | NoEndpoint | undefined> {
    const now = this.options.clock.now();
    if (this.waiting >= maxWaiting && !isRetry) return this.refuseWhenFull(request);
    this.historyOf(request.service).observePriority(request.priority, now);
    const key = AdmissionControl.keyOf(request.service, request.fields.model);
    const queued = this.queuedRequest(key, request, attempt, isRetry, now);
    const ticket = this.queues.enqueue(key, queued, now);
    this.startReviews();
    const result = await this.settled(ticket, signals);
    const endedAt = this.options.clock.now();
    request.times.addWait(WaitPart.queue, endedAt - now);
    if (result.isErr()) return this.refusalOf(request, result.error);
    return AdmissionControl.withGrant(result.value, endedAt);
  }

  /** Serves all queues: at once, or as soon as the shortest time between two reviews has passed. */
  private serveAll(): void {
    if (this.queues.isIdle) return;
    const now = this.options.clock.now();
    if (now - this.servedAllAt < minServeIntervalMs) {
      this.serveNow.abort();
      return;
    }
    this.servedAllAt = now;
    this.queues.pump(now);
  }

  private startReviews(): void {
    if (this.isServing || this.queues.isIdle) return;
    this.isServing = true;
    this.reviewPeriodically()
      .catch((error: unknown) => {
        this.options.telemetry.log('task.error', { step: 'admission', reason: String(error) });
      })
      .finally(() => {
        this.isServing = false;
      });
  }

  /** Reviews the queues until none waits, since targets pass and reports expire without an event. */
  private async reviewPeriodically(): Promise<void> {
    const { clock, telemetry } = this.options;
    while (!this.queues.isIdle) {
      this.serveNow = new AbortController();
      await clock.sleep(minServeIntervalMs);
      await clock.sleep(serveIntervalMs - minServeIntervalMs, this.serveNow.signal);
      this.serveAll();
      telemetry.gauge('currantdrift_admission_waiting', this.waiting);
    }
  }

  /** Serves the queues whose requests the endpoint can run. */
  private serveQueuesOf({ id, service }: EndpointRecord): void {
    if (this.queues.isIdle) return;
    const now = this.options.clock.now();
    const models = this.options.directory.models(id, now).map(({ name }) => name);
    const keys = [undefined, ...models].map((model) => AdmissionControl.keyOf(service, model));
    this.queues.pumpSome(keys, now);
  }

  private attempt(key: string, queued: QueuedRequest, now: number): Attempted | undefined {
    const attempted = queued.attempt(now, this.levelOf(key, queued, now));
    if (attempted !== undefined || !this.isHopeless(key, queued, now)) return attempted;
    const message = 'all endpoints are full';
    const retryAfterMs = this.historyOf(queued.request.service).answerMs;
    return this.refusalOf(queued.request, { kind: 'too_late', message, retryAfterMs });
  }

  private levelOf(key: string, queued: QueuedRequest, now: number): RoomLevel {
    const { enqueuedAt, target, request } = queued;
    const heldUntil = enqueuedAt + Math.max(0, target - enqueuedAt) * holdShare;
    const isHeldLong = now > enqueuedAt && now >= heldUntil;
    if (isHeldLong && !this.isWaitKnown(key, now) && this.isMostUrgent(request, now)) return 'any';
    return now >= enqueuedAt + unknownLoadHoldMs ? 'unknown' : 'free';
  }

  /**
   * Whether a request has missed its target as the endpoints were full all the time, without any of this
   * member's requests from whose end a wait could be estimated.
   */
  private isHopeless(key: string, { enqueuedAt, target }: QueuedRequest, now: number) {
    const isMissed = now > enqueuedAt && now > target;
    return isMissed && !this.isWaitKnown(key, now);
  }

  private isWaitKnown(key: string, now: number): boolean {
    return (this.queues.queue(key)?.status(now).waitMs ?? 0) > 0;
  }

  private isMostUrgent({ service, priority }: ClientRequest, now: number): boolean {
    return this.historyOf(service).isMostUrgent(priority, now);
  }

  private queuedRequest(
    key: string,
    request: ClientRequest,
    attempt: ReserveAttempt,
    isRetry: boolean,
    now: number,
  ): QueuedRequest {
    const { service, route, arrivedAt, deadline, firstByteDeadline, authorized } = request;
    const serviceMs = this.queues.queue(key)?.meanServiceMs ?? 0;
    const { firstByteMs } = this.historyOf(service);
    const isFirstByteSooner = firstByteDeadline - firstByteMs < deadline - serviceMs;
    return {
      caller: authorized.customer?.name ?? anonymousCaller,
      weight: 1,
      priority: Math.max(0, maxPriority - request.priority),
      ...(isFirstByteSooner
        ? { deadline: firstByteDeadline, serviceMs: firstByteMs }
        : { deadline }),
      target: arrivedAt + route.firstByteTargetMs - firstByteMs,
      isRetry,
      request,
      enqueuedAt: now,
      attempt,
    };
  }

  private async settled(
    ticket: Ticket<Attempted>,
    signals: readonly AbortSignal[],
  ): Promise<Result<Grant<Attempted>, AdmissionRefusal>> {
    const leave = () => ticket.cancel(this.options.clock.now());
    signals.forEach((signal) => signal.addEventListener('abort', leave, { once: true }));
    if (signals.some(({ aborted }) => aborted)) leave();
    this.waiting += 1;
    const result = await ticket.result;
    this.waiting -= 1;
    signals.forEach((signal) => signal.removeEventListener('abort', leave));
    return result;
  }

  /** The endpoint of a grant, which ends with the release of the place there. */
  private static withGrant(
    grant: Grant<Attempted>,
    grantedAt: number,
  ): SelectedEndpoint | NoEndpoint | undefined {
    const { value, finish } = grant;
    if (value === notQueued || value.kind !== 'selected') {
      finish(false, grantedAt);
      return value === notQueued ? undefined : value;
    }
    const { place } = value;
    return {
      ...value,
      place: {
        ...place,
        release: (end, now) => {
          finish(end === 'served', now);
          place.release(end, now);
        },
      },
    };
  }

  private refuseWhenFull(request: ClientRequest): NoEndpoint | undefined {
    const message = 'too many requests are waiting';
    return this.refusalOf(request, { kind: 'queue_full', message, retryAfterMs: serveIntervalMs });
  }

  private refusalOf(
    { authorized, service }: ClientRequest,
    { kind, message, retryAfterMs }: AdmissionRefusal,
  ): NoEndpoint | undefined {
    if (kind === 'cancelled') return undefined;
    this.options.telemetry.count('currantdrift_admission_refusals_total', {
      reason: kind,
      service,
      customer: authorized.customer?.name,
    });
    const spreadMs = this.options.retrySpread.next(retryAfterMs);
    return { kind: 'refused', reason: message, retryAfterMs: spreadMs };
  }

  private queueShare({ service, priority, route }: ClientRequest, now: number): number {
    const history = this.historyOf(service);
    if (!history.isMostUrgent(priority, now)) return -reservedShare;
    const share = route.firstByteTargetMs / Math.max(1, history.answerMs);
    return Math.min(maxQueueShare, Math.max(minQueueShare, share));
  }

  private historyOf(service: string): ServiceHistory {
    const found = this.histories.get(service);
    if (found !== undefined) return found;
    const history = ServiceHistory.create();
    this.histories.set(service, history);
    return history;
  }

  private capacityOf({ id, bornAt, slots, service }: EndpointRecord): EndpointCapacity {
    const engines = this.options.configuration()?.services.get(service)?.engines;
    return { id, bornAt, slots, cacheTokens: engines?.cacheTokens };
  }

  private static keyOf(service: string, model: string | undefined): string {
    return JSON.stringify([service, model]);
  }
}
