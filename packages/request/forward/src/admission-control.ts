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
  type RoomDemand,
  RoomState,
} from '@currantdrift/routing';
import type { Result } from 'neverthrow';
import type { ClientRequest } from './client-request';
import type { NoEndpoint, SelectedEndpoint } from './endpoint-selection';
import type { RetrySpread } from './retry-spread';
import { WaitPart } from './request-times';

/** Shortest time between two reviews of all queues, and the time between them without any event, in ms. */
const minReviewIntervalMs = 15;
const reviewIntervalMs = 50;

/** Requests that may wait in one queue, and in all queues of a process. */
const maxWaitingInQueue = 2_000;
const maxWaiting = 10_000;

/** Time for which a request is held back from endpoints whose present load is not known, in ms. */
const unknownLoadHoldMs = 100;

/**
 * Share of the time until its target after which a request is sent to a full endpoint if there is no
 * estimate of the wait. Endpoints order what waits there by urgency.
 */
const holdShare = 0.5;

/** Weight of a new sample in the mean time to the first byte. */
const sampleWeight = 0.05;

/** Lowest urgency of requests, and the priority of the queue that the most urgent ones have. */
const maxPriority = 9;

/** Name under which requests without a customer share the endpoints. */
const anonymousCaller = '';

const httpStatus = { tooLarge: 413 } as const;

/** An attempt at a reservation found no endpoint for a reason other than a lack of room. */
export const notQueued = 'not_queued';

/** The endpoints that the request at the head of a queue may be sent to at present. */
export type RoomLevel =
  /** Those known to have room. */
  | 'free'
  /** Also those whose load is not known. */
  | 'unknown'
  /** All whose memory holds the request. */
  | 'any';

/** Reserves a place for a request; undefined if no endpoint has room. */
export type ReserveAttempt = (
  now: number,
  level: RoomLevel,
) => SelectedEndpoint | typeof notQueued | undefined;

interface QueuedRequest extends AdmissionRequest {
  readonly enqueuedAt: number;
  readonly attempt: ReserveAttempt;
}

type Attempted = SelectedEndpoint | typeof notQueued;

export interface AdmissionControlOptions {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly directory: EndpointDirectory;
  readonly rooms: EndpointRooms;
  readonly retrySpread: RetrySpread;
  readonly configuration: () => Configuration | undefined;
  /** Whether the deployment's settings ask for admission control; customers do so as well. */
  readonly limitsRoom: boolean;
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

  /** Mean time to the first byte by service, in ms. */
  private readonly firstByteMs = new Map<string, number>();

  private waiting = 0;

  private reviewedAt = -Infinity;

  private isReviewing = false;

  private reviewNow = new AbortController();

  private constructor(private readonly options: AdmissionControlOptions) {
    this.queues = AdmissionQueues.create<Attempted, QueuedRequest>(
      (key, request, now) => this.attempt(key, request, now),
      { maxWaiting: maxWaitingInQueue, maxPerCaller: maxWaitingInQueue },
      // The release of the place that ends a grant serves the queues that can use it.
      () => {},
    );
    options.directory.onChange(() => this.review());
  }

  static create(options: AdmissionControlOptions): AdmissionControl {
    return new AdmissionControl(options);
  }

  get isEnabled(): boolean {
    const { limitsRoom, configuration } = this.options;
    return limitsRoom || configuration()?.customers?.isEmpty === false;
  }

  /** Endpoints of `records` that the request may be sent to. */
  withRoom(
    records: readonly EndpointRecord[],
    demand: RoomDemand,
    level: RoomLevel,
    now: number,
  ): readonly EndpointRecord[] {
    const states = levelStates[level];
    return records.filter((record) =>
      states.has(this.options.rooms.state(this.capacityOf(record), demand, now)),
    );
  }

  /** Takes room at the endpoint of a reservation until its release. */
  hold(record: EndpointRecord, demand: RoomDemand, place: Reservation): Reservation {
    const hold = this.options.rooms.hold(this.capacityOf(record), demand);
    return {
      ...place,
      observeFirstByte: (elapsedMs) => {
        place.observeFirstByte(elapsedMs);
        hold.markPromptRead();
        this.observeFirstByte(record.service, elapsedMs);
        this.serveWaiting(record);
      },
      observeLoad: (running, waiting, now) => {
        place.observeLoad(running, waiting, now);
        hold.observeLoad(running + waiting, now);
        this.serveWaiting(record);
      },
      release: (end, now) => {
        place.release(end, now);
        hold.release();
        this.serveWaiting(record);
      },
    };
  }

  /** Records the numbers of requests in flight at endpoints, over all members. */
  observeFleetLoads(loads: readonly EndpointLoad[], now: number): void {
    this.options.rooms.observeFleetLoads(loads, now);
    this.review();
  }

  /** The refusal of a request that none of the endpoints can hold; undefined if one can. */
  checkFit(records: readonly EndpointRecord[], demand: RoomDemand): NoEndpoint | undefined {
    if (records.length === 0) return undefined;
    if (records.some((record) => EndpointRooms.fits(this.capacityOf(record), demand))) {
      return undefined;
    }
    const reason = 'the request needs more memory than an endpoint has';
    return { kind: 'refused', status: httpStatus.tooLarge, reason, retryAfterMs: 0 };
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
    const key = AdmissionControl.keyOf(request.service, request.fields.model);
    const queued = this.queuedRequest(key, request, attempt, isRetry, now);
    const ticket = this.queues.enqueue(key, queued, now);
    this.startReviews();
    const result = await this.settled(ticket, signals);
    request.times.addWait(WaitPart.queue, this.options.clock.now() - now);
    if (result.isErr()) return this.refusalOf(request, result.error);
    return AdmissionControl.withGrant(result.value);
  }

  /** Serves all queues: at once, or as soon as the shortest time between two reviews has passed. */
  private review(): void {
    if (this.queues.isIdle) return;
    const now = this.options.clock.now();
    if (now - this.reviewedAt < minReviewIntervalMs) {
      this.reviewNow.abort();
      return;
    }
    this.reviewedAt = now;
    this.queues.pump(now);
  }

  private startReviews(): void {
    if (this.isReviewing || this.queues.isIdle) return;
    this.isReviewing = true;
    this.reviewPeriodically()
      .catch((error: unknown) => {
        this.options.telemetry.log('task.error', { step: 'admission', reason: String(error) });
      })
      .finally(() => {
        this.isReviewing = false;
      });
  }

  /** Reviews the queues until none waits, since targets pass and reports expire without an event. */
  private async reviewPeriodically(): Promise<void> {
    const { clock, telemetry } = this.options;
    while (!this.queues.isIdle) {
      this.reviewNow = new AbortController();
      await clock.sleep(minReviewIntervalMs);
      await clock.sleep(reviewIntervalMs - minReviewIntervalMs, this.reviewNow.signal);
      this.review();
      telemetry.gauge('currantdrift_admission_waiting', this.queues.waiting);
    }
  }

  /** Serves the queues whose requests the endpoint can run. */
  private serveWaiting({ id, service }: EndpointRecord): void {
    if (this.queues.isIdle) return;
    const now = this.options.clock.now();
    const models = this.options.directory.models(id, now).map(({ name }) => name);
    const keys = [undefined, ...models].map((model) => AdmissionControl.keyOf(service, model));
    this.queues.pumpSome(keys, now);
  }

  private attempt(key: string, request: QueuedRequest, now: number): Attempted | undefined {
    return request.attempt(now, this.levelOf(key, request, now));
  }

  private levelOf(key: string, request: QueuedRequest, now: number): RoomLevel {
    const { enqueuedAt, target = Infinity } = request;
    const isWaitKnown = (this.queues.queue(key)?.status(now).waitMs ?? 0) > 0;
    const heldUntil = enqueuedAt + Math.max(0, target - enqueuedAt) * holdShare;
    if (!isWaitKnown && now >= heldUntil && now > enqueuedAt) return 'any';
    return now >= enqueuedAt + unknownLoadHoldMs ? 'unknown' : 'free';
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
    const firstByteMs = this.firstByteMs.get(service) ?? 0;
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
  private static withGrant(grant: Grant<Attempted>): SelectedEndpoint | undefined {
    const { value, finish } = grant;
    if (value === notQueued) {
      finish(false, 0);
      return undefined;
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
    return this.refusalOf(request, { kind: 'queue_full', message, retryAfterMs: reviewIntervalMs });
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

  private observeFirstByte(service: string, elapsedMs: number): void {
    const mean = this.firstByteMs.get(service) ?? elapsedMs;
    this.firstByteMs.set(service, mean + (elapsedMs - mean) * sampleWeight);
  }

  private capacityOf({ id, bornAt, slots, service }: EndpointRecord): EndpointCapacity {
    const engines = this.options.configuration()?.services.get(service)?.engines;
    return { id, bornAt, slots, cacheTokens: engines?.cacheTokens };
  }

  private static keyOf(service: string, model: string | undefined): string {
    return JSON.stringify([service, model]);
  }
}
