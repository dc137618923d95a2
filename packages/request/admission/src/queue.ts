import { err, ok, type Result } from 'neverthrow';
import type { Entry, Grant, Ticket } from './queue-entry';
import { Line } from './fair-queue';
import type { AdmissionRefusal, AdmissionRequest } from './request';
import { ServiceRate } from './service-rate';
import { type AdmissionSettings, defaultAdmissionSettings } from './settings';

const maxPriority = 9;

/** Rank of requests that are tried again, above all priorities. */
const againRank = maxPriority + 1;

const rankOf = <T>({ request }: Entry<T>): number =>
  request.isRetry ? againRank : request.priority;

/** Largest share of a request's time that the margin for slow answers may keep from waiting. */
const maxMarginShare = 0.75;

/** Shortest time between two estimates for all waiting entries, in ms. */
const reviewMs = 50;

/**
 * Takes capacity for a request at the head of the queue, for example a lease on an endpoint;
 * undefined when there is none now.
 */
export type Take<T> = (request: AdmissionRequest, now: number) => T | undefined;

/** Numbers of a queue for metrics and operators. */
export interface QueueStatus {
  readonly waiting: number;
  readonly running: number;
  /** Expected wait of a new entry of a new caller, in ms; 0 while unknown. */
  readonly waitMs: number;
}

const describeMistake = (request: AdmissionRequest): string | undefined => {
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
 * Bounded queue in front of the endpoints of one item or pool. Order: priority, then fair shares
 * between callers by weight, then deadline. Every entry is granted, refused or cancelled by its
 * owner exactly once.
 */
export class AdmissionQueue<T> {
  private readonly lines = Array.from({ length: againRank + 1 }, () => Line.create<T>());

  private readonly perCaller = new Map<string, number>();

  private readonly rate: ServiceRate;

  private waiting = 0;

  private running = 0;

  private sequence = 0;

  private reviewedAt = -Infinity;

  private closed = false;

  private constructor(
    private readonly take: Take<T>,
    private readonly settings: AdmissionSettings,
    private readonly onFinish: (now: number) => void,
  ) {
    this.rate = ServiceRate.create(settings.memoryMs);
  }

  /** `onFinish` is called when a grant has ended; without it, the queue then pumps itself. */
  static create<T>(
    take: Take<T>,
    settings: Partial<AdmissionSettings> = {},
    onFinish?: (now: number) => void,
  ): AdmissionQueue<T> {
    const queue: AdmissionQueue<T> = new AdmissionQueue(
      take,
      { ...defaultAdmissionSettings, ...settings },
      onFinish ?? ((now) => queue.pump(now)),
    );
    return queue;
  }

  get size(): number {
    return this.waiting;
  }

  /** Entries granted and not finished. */
  get inService(): number {
    return this.running;
  }

  status(now: number): QueueStatus {
    return {
      waiting: this.waiting,
      running: this.running,
      waitMs: this.waiting * (this.rate.intervalMs(this.running, now) ?? 0),
    };
  }

  /** Asks for admission; the ticket may be settled at once. */
  enter(request: AdmissionRequest, now: number): Ticket<T> {
    let settle: Entry<T>['settle'] = () => {};
    const result = new Promise<Result<Grant<T>, AdmissionRefusal>>((resolve) => {
      settle = resolve;
    });
    this.sequence += 1;
    const entry: Entry<T> = { request, enteredAt: now, sequence: this.sequence, settle };
    const refusal = this.admit(entry, now);
    if (refusal !== undefined) settle(err(refusal));
    else this.pump(now);
    return {
      result,
      cancel: (at) =>
        this.refuse(entry, { kind: 'cancelled', message: 'cancelled', retryAfterMs: 0 }, at),
    };
  }

  /**
   * Grants entries while there is capacity and refuses those that can no longer be served in
   * time. To be called when capacity may have come free, and from time to time while entries wait.
   */
  pump(now: number): void {
    for (;;) {
      const entry = this.first();
      if (entry === undefined) break;
      if (this.isHopeless(entry, now)) {
        this.refuse(entry, this.tooLate(entry, 0, now), now);
        continue;
      }
      const value = this.take(entry.request, now);
      if (value === undefined) break;
      this.grant(entry, value, now);
    }
    this.review(now);
  }

  /** Refuses all that wait and all that come later. */
  close(now: number): void {
    this.closed = true;
    this.entries().forEach((entry) => this.refuse(entry, this.closing(), now));
  }

  private admit(entry: Entry<T>, now: number): AdmissionRefusal | undefined {
    const { request } = entry;
    const mistake = describeMistake(request);
    if (mistake !== undefined) return { kind: 'invalid', message: mistake, retryAfterMs: 0 };
    if (this.closed) return this.closing();
    if (request.deadline <= now) return this.tooLate(entry, 0, now);
    const late = this.refuseEarly(entry, this.safeServiceMs(entry), now);
    if (late !== undefined) return late;
    const waiting = this.perCaller.get(request.caller) ?? 0;
    if (!request.isRetry && waiting >= this.settings.maxPerCaller) {
      return this.full('caller_full', `${request.caller} has too many requests waiting`, now);
    }
    if (this.waiting >= this.settings.maxWaiting && !this.makeRoom(entry, now)) {
      return this.full('queue_full', 'too many requests are waiting', now);
    }
    this.line(entry).add(entry);
    this.count(entry, 1, now);
    return undefined;
  }

  /** Refuses `entry` when the backlog ahead of it and its own service take too long. */
  private refuseEarly(
    entry: Entry<T>,
    serviceMs: number,
    now: number,
  ): AdmissionRefusal | undefined {
    if (!this.settings.earlyRefusal || this.waiting === 0) return undefined;
    const interval = this.rate.intervalMs(this.running, now);
    if (interval === undefined) return undefined;
    const waitMs = (this.ahead(entry) + 1) * interval;
    const left = entry.request.deadline - now - serviceMs;
    return waitMs > left ? this.tooLate(entry, waitMs, now) : undefined;
  }

  /** Tells whether an entry at the head cannot be answered in time, however soon it is granted. */
  private isHopeless(entry: Entry<T>, now: number): boolean {
    const { deadline } = entry.request;
    if (deadline <= now) return true;
    // The last one is tried: its result corrects the estimate, which would else stay as it is.
    if (!this.settings.earlyRefusal || this.waiting === 1) return false;
    return deadline - now < this.serviceMs(entry);
  }

  private review(now: number): void {
    if (this.waiting === 0 || now - this.reviewedAt < reviewMs) return;
    this.reviewedAt = now;
    this.entries().forEach((entry) => {
      const late =
        entry.request.deadline <= now
          ? this.tooLate(entry, 0, now)
          : this.refuseEarly(entry, this.serviceMs(entry), now);
      if (late !== undefined) this.refuse(entry, late, now);
    });
  }

  /**
   * Gives up the last entry of the most backlogged caller at the lowest waiting priority in favour
   * of `entry`, if that one has a higher priority or a caller with a shorter backlog.
   */
  private makeRoom(entry: Entry<T>, now: number): boolean {
    const lowest = this.lines.find((line) => line.size > 0);
    const victim = lowest?.last();
    if (lowest === undefined || victim === undefined) return false;
    const { caller, weight } = entry.request;
    if (rankOf(victim) > rankOf(entry)) return false;
    const longest = lowest.backlog(victim.request.caller, victim.request.weight);
    const isLonger = lowest.backlog(caller, weight) + 1 >= longest;
    if (rankOf(victim) === rankOf(entry) && isLonger) return false;
    return this.refuse(victim, this.full('queue_full', 'made room for another caller', now), now);
  }

  private grant(entry: Entry<T>, value: T, now: number): void {
    this.line(entry).serve();
    // An entry that found free capacity says nothing about the rate under backlog.
    if (entry.enteredAt < now) this.rate.countGrant(now);
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
    entry.settle(ok({ value, waitedMs: now - entry.enteredAt, finish }));
  }

  private refuse(entry: Entry<T>, refusal: AdmissionRefusal, now: number): boolean {
    // An entry that was never admitted may carry an invalid priority.
    if (!this.lines[rankOf(entry)]?.remove(entry)) return false;
    this.count(entry, -1, now);
    entry.settle(err(refusal));
    return true;
  }

  private count(entry: Entry<T>, by: number, now: number): void {
    const { caller } = entry.request;
    const count = (this.perCaller.get(caller) ?? 0) + by;
    if (count > 0) this.perCaller.set(caller, count);
    else this.perCaller.delete(caller);
    this.waiting += by;
    this.rate.setBacklogged(this.waiting > 0, now);
  }

  private first(): Entry<T> | undefined {
    return this.lines.findLast((line) => line.size > 0)?.first();
  }

  private ahead(entry: Entry<T>): number {
    const higher = this.lines.slice(rankOf(entry) + 1).reduce((sum, line) => sum + line.size, 0);
    return higher + this.line(entry).ahead(entry);
  }

  private line(entry: Entry<T>): Line<T> {
    return this.lines[rankOf(entry)];
  }

  private entries(): Entry<T>[] {
    return this.lines.flatMap((line) => line.entries());
  }

  private serviceMs(entry: Entry<T>): number {
    return entry.request.serviceMs ?? this.rate.serviceMs ?? 0;
  }

  /**
   * Service time with a margin for slow answers. New entries need it, waiting ones only the mean,
   * so that an entry is not refused because of noise just after it was let in.
   */
  private safeServiceMs(entry: Entry<T>): number {
    const meanMs = this.serviceMs(entry);
    if (entry.request.serviceMs !== undefined) return meanMs;
    const patienceMs = entry.request.deadline - entry.enteredAt;
    return Math.max(meanMs, Math.min(this.rate.safeServiceMs ?? 0, patienceMs * maxMarginShare));
  }

  private tooLate(entry: Entry<T>, waitMs: number, now: number): AdmissionRefusal {
    const allowedMs = entry.request.deadline - entry.enteredAt - this.safeServiceMs(entry);
    // One more interval, because the backlog shrinks in steps.
    const step = this.rate.intervalMs(this.running, now) ?? 0;
    const excess = waitMs - Math.max(0, allowedMs) + step;
    return {
      kind: 'too_late',
      message: 'the request cannot be answered before its deadline',
      retryAfterMs: waitMs > 0 ? this.bounded(excess) : this.drainMs(now),
    };
  }

  private full(kind: 'queue_full' | 'caller_full', message: string, now: number): AdmissionRefusal {
    return { kind, message, retryAfterMs: this.drainMs(now) };
  }

  private closing(): AdmissionRefusal {
    const retryAfterMs = this.settings.defaultRetryAfterMs;
    return { kind: 'closed', message: 'the process is stopping', retryAfterMs };
  }

  /** Time until what waits now is served, in ms. */
  private drainMs(now: number): number {
    const interval = this.rate.intervalMs(this.running, now);
    if (interval === undefined) return this.settings.defaultRetryAfterMs;
    return this.bounded(this.waiting * interval);
  }

  private bounded(ms: number): number {
    const { minRetryAfterMs, maxRetryAfterMs } = this.settings;
    return Math.ceil(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, ms)));
  }
}
