import { err, ok, type Result } from 'neverthrow';
import type { QueueEntry, Grant, Ticket } from './queue-entry';
import { FairQueue } from './fair-queue';
import type { AdmissionRefusal, AdmissionRequest } from './request';
import { ServiceRate } from './service-rate';
import { type AdmissionSettings, defaultAdmissionSettings } from './settings';

const maxPriority = 9;

/** Rank of retried requests, above all priorities. */
const retryRank = maxPriority + 1;

const rankOf = ({ request }: { readonly request: AdmissionRequest }): number =>
  request.isRetry ? retryRank : request.priority;

/** Largest share of a request's time that the margin for slow answers may take from its wait. */
const maxMarginShare = 0.75;

/** Shortest time between two checks of waiting entries for late ones, in ms. */
const reviewIntervalMs = 50;

/**
 * Acquires capacity for the request at the head of the queue, for example a lease on an endpoint.
 * Undefined if no capacity is free.
 */
export type AcquireCapacity<T, R extends AdmissionRequest = AdmissionRequest> = (
  request: R,
  now: number,
) => T | undefined;

/** State of a queue for metrics and operators. */
export interface QueueStatus {
  readonly waiting: number;
  readonly running: number;
  /** Estimated wait if all waiting entries are served first, in ms; 0 while unknown. */
  readonly waitMs: number;
}

const validationError = (request: AdmissionRequest): string | undefined => {
  const { weight, priority, deadline, cost, serviceMs } = request;
  if (!(weight > 0 && Number.isFinite(weight))) return `weight must be above 0, is ${weight}`;
  if (!Number.isInteger(priority) || priority < 0 || priority > maxPriority) {
    return `priority must be an integer from 0 to ${maxPriority}, is ${priority}`;
  }
  if (!Number.isFinite(deadline)) return `deadline must be a time in ms, is ${deadline}`;
  if (cost !== undefined && !(cost > 0 && Number.isFinite(cost))) {
    return `cost must be above 0, is ${cost}`;
  }
  if (serviceMs !== undefined && !(serviceMs >= 0)) {
    return `serviceMs must not be below 0, is ${serviceMs}`;
  }
  return undefined;
};

/**
 * Bounded queue in front of the endpoints of one item or pool. Entries are ordered by priority,
 * then by weighted fair sharing between callers, then by deadline. Each entry is granted, refused
 * or cancelled by its owner exactly once.
 */
export class AdmissionQueue<T, R extends AdmissionRequest = AdmissionRequest> {
  private readonly lines = Array.from({ length: retryRank + 1 }, () => FairQueue.create<T, R>());

  private readonly waitingByCaller = new Map<string, number>();

  private readonly rate: ServiceRate;

  private waiting = 0;

  private running = 0;

  private sequence = 0;

  private reviewedAt = -Infinity;

  /** All waiting entries in order of arrival, and those of them whose review is due. */
  private readonly all = new Set<QueueEntry<T, R>>();

  private reviewed = this.all.values();

  private closed = false;

  private constructor(
    private readonly acquire: AcquireCapacity<T, R>,
    private readonly settings: AdmissionSettings,
    private readonly onFinish: (now: number) => void,
  ) {
    this.rate = ServiceRate.create(settings.rateTimeConstantMs, settings.rateFromRunning);
  }

  /** `onFinish` is called when a grant has ended; by default it calls `pump`. */
  static create<T, R extends AdmissionRequest = AdmissionRequest>(
    acquire: AcquireCapacity<T, R>,
    settings: Partial<AdmissionSettings> = {},
    onFinish?: (now: number) => void,
  ): AdmissionQueue<T, R> {
    const queue: AdmissionQueue<T, R> = new AdmissionQueue(
      acquire,
      { ...defaultAdmissionSettings, ...settings },
      onFinish ?? ((now) => queue.pump(now)),
    );
    return queue;
  }

  get size(): number {
    return this.waiting;
  }

  /** Number of granted entries that have not finished. */
  get inFlight(): number {
    return this.running;
  }

  /** Mean time from grant to answer, in ms; undefined before the first answer. */
  get meanServiceMs(): number | undefined {
    return this.rate.serviceMs;
  }

  status(now: number): QueueStatus {
    return {
      waiting: this.waiting,
      running: this.running,
      waitMs: this.waiting * (this.rate.intervalMs(this.running, now) ?? 0),
    };
  }

  /** Requests admission. The result may be settled immediately. */
  enqueue(request: R, now: number): Ticket<T> {
    let settle: QueueEntry<T, R>['settle'] = () => {};
    const result = new Promise<Result<Grant<T>, AdmissionRefusal>>((resolve) => {
      settle = resolve;
    });
    this.sequence += 1;
    const entry: QueueEntry<T, R> = { request, enqueuedAt: now, sequence: this.sequence, settle };
    const refusal = this.admit(entry, now);
    if (refusal !== undefined) settle(err(refusal));
    // Behind others it changes nothing for those ahead, whose attempts cost the most.
    else if (this.firstEntry(now) === entry) this.pump(now);
    return {
      result,
      cancel: (at) =>
        this.refuse(entry, { kind: 'cancelled', message: 'cancelled', retryAfterMs: 0 }, at),
    };
  }

  /**
   * Grants entries while there is capacity and refuses those that can no longer be served in
   * time. Call it when capacity may have become free, and periodically while entries wait.
   */
  pump(now: number): void {
    while (this.grantFirst(now));
    this.refuseLate(now);
  }

  /** Request of the entry to be served next; undefined while none waits. */
  first(now: number): R | undefined {
    return this.firstEntry(now)?.request;
  }

  /**
   * Grants the first entry that can be served in time if there is capacity for it, and refuses those
   * before it. Returns whether an entry was granted.
   */
  grantFirst(now: number): boolean {
    for (let entry = this.firstEntry(now); entry !== undefined; entry = this.firstEntry(now)) {
      if (!this.cannotMeetDeadline(entry, now)) return this.tryGrant(entry, now);
      this.refuse(entry, this.tooLateRefusal(entry, 0, now), now);
    }
    return false;
  }

  /** Refuses all waiting and all later requests. */
  close(now: number): void {
    this.closed = true;
    [...this.all].forEach((entry) => this.refuse(entry, this.closedRefusal(), now));
  }

  private admit(entry: QueueEntry<T, R>, now: number): AdmissionRefusal | undefined {
    const { request } = entry;
    const problem = validationError(request);
    if (problem !== undefined) return { kind: 'invalid', message: problem, retryAfterMs: 0 };
    if (this.closed) return this.closedRefusal();
    if (request.deadline <= now) return this.tooLateRefusal(entry, 0, now);
    const late = this.refuseEarly(entry, this.conservativeServiceMs(entry), now);
    if (late !== undefined) return late;
    const waiting = this.waitingByCaller.get(request.caller) ?? 0;
    if (!request.isRetry && waiting >= this.settings.maxPerCaller) {
      return this.fullRefusal(
        'caller_full',
        `${request.caller} has too many requests waiting`,
        now,
      );
    }
    if (this.waiting >= this.settings.maxWaiting && !this.evictFor(entry, now)) {
      return this.fullRefusal('queue_full', 'too many requests are waiting', now);
    }
    this.queueOf(entry).add(entry, now);
    this.all.add(entry);
    this.count(entry, 1, now);
    return undefined;
  }

  /** Refuses `entry` if the backlog ahead of it and its own service exceed the time left. */
  private refuseEarly(
    entry: QueueEntry<T, R>,
    serviceMs: number,
    now: number,
  ): AdmissionRefusal | undefined {
    if (!this.settings.earlyRefusal || this.waiting === 0) return undefined;
    const interval = this.rate.intervalMs(this.running, now);
    if (interval === undefined) return undefined;
    const left = entry.request.deadline - now - serviceMs;
    // At most all others are ahead; an exact count is not needed if even those leave enough time.
    if ((this.waiting + 1) * interval <= left) return undefined;
    const waitMs = (this.countAhead(entry, now) + 1) * interval;
    return waitMs > left ? this.tooLateRefusal(entry, waitMs, now) : undefined;
  }

  /** Whether an entry at the head would miss its deadline even if it were granted now. */
  private cannotMeetDeadline(entry: QueueEntry<T, R>, now: number): boolean {
    const { deadline } = entry.request;
    if (deadline <= now) return true;
    // The only waiting entry is tried anyway: its result corrects an estimate that is too high.
    if (!this.settings.earlyRefusal || this.waiting === 1) return false;
    return deadline - now < this.serviceMs(entry);
  }

  private refuseLate(now: number): void {
    if (this.waiting === 0 || now - this.reviewedAt < reviewIntervalMs) return;
    this.reviewedAt = now;
    this.nextToReview().forEach((entry) => {
      const late =
        entry.request.deadline <= now
          ? this.tooLateRefusal(entry, 0, now)
          : this.refuseEarly(entry, this.serviceMs(entry), now);
      if (late !== undefined) this.refuse(entry, late, now);
    });
  }

  /** Entries are reviewed in turn, so that the cost of a review does not grow with the queue. */
  private nextToReview(): QueueEntry<T, R>[] {
    const entries: QueueEntry<T, R>[] = [];
    while (entries.length < this.settings.reviewSize) {
      const next = this.reviewed.next();
      if (next.done === true) {
        this.reviewed = this.all.values();
        break;
      }
      entries.push(next.value);
    }
    return entries;
  }

  /**
   * Evicts the last entry of the most backlogged caller at the lowest waiting priority in favor of
   * `entry`, if `entry` has a higher priority or its caller has a shorter backlog.
   */
  private evictFor(entry: QueueEntry<T, R>, now: number): boolean {
    const lowest = this.lines.find((queue) => queue.size > 0);
    const victim = lowest?.last();
    if (lowest === undefined || victim === undefined) return false;
    const { caller, weight } = entry.request;
    if (rankOf(victim) > rankOf(entry)) return false;
    const longest = lowest.backlogPerWeight(victim.request.caller, victim.request.weight);
    const isLonger = lowest.backlogPerWeight(caller, weight) + 1 >= longest;
    if (rankOf(victim) === rankOf(entry) && isLonger) return false;
    return this.refuse(
      victim,
      this.fullRefusal('queue_full', 'evicted in favor of another caller', now),
      now,
    );
  }

  private tryGrant(entry: QueueEntry<T, R>, now: number): boolean {
    const value = this.acquire(entry.request, now);
    if (value === undefined) return false;
    this.grant(entry, value, now);
    return true;
  }

  private grant(entry: QueueEntry<T, R>, value: T, now: number): void {
    this.queueOf(entry).dequeue(now);
    this.all.delete(entry);
    // An entry that was granted without waiting says nothing about the rate under backlog.
    if (entry.enqueuedAt < now) this.rate.countGrant(now);
    this.count(entry, -1, now);
    this.running += 1;
    let finished = false;
    const finish = (served: boolean, at: number): boolean => {
      if (finished) return false;
      finished = true;
      this.running -= 1;
      if (served) this.rate.observeService(at - now);
      this.onFinish(at);
      return true;
    };
    entry.settle(ok({ value, waitedMs: now - entry.enqueuedAt, finish }));
  }

  private refuse(entry: QueueEntry<T, R>, refusal: AdmissionRefusal, now: number): boolean {
    // An entry that was never admitted may have an invalid priority.
    if (!this.lines[rankOf(entry)]?.remove(entry)) return false;
    this.all.delete(entry);
    this.count(entry, -1, now);
    entry.settle(err(refusal));
    return true;
  }

  private count(entry: QueueEntry<T, R>, by: number, now: number): void {
    const { caller } = entry.request;
    const count = (this.waitingByCaller.get(caller) ?? 0) + by;
    if (count > 0) this.waitingByCaller.set(caller, count);
    else this.waitingByCaller.delete(caller);
    this.waiting += by;
    this.rate.setBacklogged(this.waiting > 0, now);
  }

  private firstEntry(now: number): QueueEntry<T, R> | undefined {
    return this.lines.findLast((queue) => queue.size > 0)?.first(now);
  }

  private countAhead(entry: QueueEntry<T, R>, now: number): number {
    let ahead = this.queueOf(entry).countAhead(entry, now);
    for (let rank = rankOf(entry) + 1; rank < this.lines.length; rank += 1) {
      ahead += this.lines[rank].size;
    }
    return ahead;
  }

  private queueOf(entry: QueueEntry<T, R>): FairQueue<T, R> {
    return this.lines[rankOf(entry)];
  }

  private serviceMs(entry: QueueEntry<T, R>): number {
    return entry.request.serviceMs ?? this.rate.serviceMs ?? 0;
  }

  /**
   * Service time with a margin for slow answers. New entries are checked with the margin, waiting
   * ones with the mean, so that noise does not refuse an entry just after its admission.
   */
  private conservativeServiceMs(entry: QueueEntry<T, R>): number {
    const meanMs = this.serviceMs(entry);
    if (entry.request.serviceMs !== undefined) return meanMs;
    const availableMs = entry.request.deadline - entry.enqueuedAt;
    return Math.max(
      meanMs,
      Math.min(this.rate.conservativeServiceMs ?? 0, availableMs * maxMarginShare),
    );
  }

  private tooLateRefusal(entry: QueueEntry<T, R>, waitMs: number, now: number): AdmissionRefusal {
    const allowedMs = entry.request.deadline - entry.enqueuedAt - this.conservativeServiceMs(entry);
    // One more interval, because the backlog shrinks by whole entries.
    const step = this.rate.intervalMs(this.running, now) ?? 0;
    const excess = waitMs - Math.max(0, allowedMs) + step;
    return {
      kind: 'too_late',
      message: 'the request cannot be answered before its deadline',
      retryAfterMs: waitMs > 0 ? this.clampRetryAfter(excess) : this.drainMs(now),
    };
  }

  private fullRefusal(
    kind: 'queue_full' | 'caller_full',
    message: string,
    now: number,
  ): AdmissionRefusal {
    return { kind, message, retryAfterMs: this.drainMs(now) };
  }

  private closedRefusal(): AdmissionRefusal {
    const retryAfterMs = this.settings.defaultRetryAfterMs;
    return { kind: 'closed', message: 'the process is stopping', retryAfterMs };
  }

  /** Estimated time until all waiting entries are served, in ms. */
  private drainMs(now: number): number {
    const interval = this.rate.intervalMs(this.running, now);
    if (interval === undefined) return this.settings.defaultRetryAfterMs;
    return this.clampRetryAfter(this.waiting * interval);
  }

  private clampRetryAfter(ms: number): number {
    const { minRetryAfterMs, maxRetryAfterMs } = this.settings;
    return Math.ceil(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, ms)));
  }
}
