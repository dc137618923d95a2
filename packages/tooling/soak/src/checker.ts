import { answerViolations, isSuccess } from './answer-check';
import {
  type CrashingRequests,
  lostSoundViolations,
  repeatedCrashViolations,
  type SoundRequest,
} from './crash-check';
import type { Disturbances } from './disturbances';
import { keyViolations } from './key-check';
import { limitViolations } from './limit-check';
import {
  type Arrival,
  type Attempt,
  CauseKind,
  type EngineCrash,
  Kind,
  type Limit,
  type Order,
  type ReceivedCall,
  type Refusal,
  type Run,
} from './observations';
import { lostStreamViolations, mixedStreamViolations } from './stream-check';
import type { Violation } from './violation';

/** Bounds of the promises, in ms. */
export interface CheckerBounds {
  /** Time without disturbance after which a process is held to bounds of time. */
  readonly contactMs: number;
  /** Time after which a leaving endpoint gets no more requests. */
  readonly drainMs: number;
  /** Time after which a configuration is in force. */
  readonly configurationMs: number;
  /** Time after which a withdrawn API key must not be used on any process. */
  readonly revocationMs: number;
  /** Shortest time between orders of two holders to one engine. */
  readonly holderPauseMs: number;
  /** Time after the end of a disturbance within which orders arrive that were held up by it. */
  readonly healedMs: number;
  /** Time after which an answer may be ended because its route's time is up. */
  readonly answerMs: number;
  /** Part of the requests of the calm end that must be served. */
  readonly recoveredShare: number;
}

/** Statuses that promise that a request has not run and never will. */
const promises: ReadonlySet<number | undefined> = new Set([408, 421, 429, 503]);

/** Name of the planned stops of a process among the disturbances. */
export const stopOf = (process: string): string => `stop of ${process}`;

/** Name of the kills and pauses of a process among the disturbances. */
export const haltOf = (process: string): string => `halt of ${process}`;

/** Time after a refusal with a pause in which requests may still be on their way, in ms. */
const pauseSlackMs = 500;

/** Requests and orders of one process that may reach an endpoint in its pause. */
const maxInPause = 2;

/** Checks what callers and endpoints saw against what the system promises. */
export class Checker {
  private readonly attempts: Attempt[] = [];

  private readonly runs = new Map<string, Run[]>();

  private readonly orders: Order[] = [];

  private readonly refusals: Refusal[] = [];

  private readonly calls: ReceivedCall[] = [];

  private readonly limits: Limit[] = [];

  private readonly crashes: EngineCrash[] = [];

  private readonly crashingRequests: CrashingRequests[] = [];

  /** Time at which each configuration version was acknowledged. */
  private readonly versions = new Map<number, number>();

  /** Time at which each withdrawn API key had gone from the configuration. */
  private readonly withdrawals = new Map<string, number>();

  private constructor(
    private readonly bounds: CheckerBounds,
    private readonly disturbances: Disturbances,
  ) {}

  static create(bounds: CheckerBounds, disturbances: Disturbances): Checker {
    return new Checker(bounds, disturbances);
  }

  attempted(attempt: Attempt): void {
    this.attempts.push(attempt);
  }

  ran(run: Run): void {
    this.runs.set(run.id, [...(this.runs.get(run.id) ?? []), run]);
  }

  refused(refusal: Refusal): void {
    this.refusals.push(refusal);
  }

  ordered(order: Order): void {
    this.orders.push(order);
  }

  /** Any call that an endpoint received: a request, an order or a question for its state. */
  received(call: ReceivedCall): void {
    this.calls.push(call);
  }

  limited(limit: Limit): void {
    this.limits.push(limit);
  }

  /** A request has crashed an engine. */
  crashed(crash: EngineCrash): void {
    this.crashes.push(crash);
  }

  /** Clients have stopped sending requests that crash engines by one cause. */
  crashingRequestsEnded(requests: CrashingRequests): void {
    this.crashingRequests.push(requests);
  }

  acknowledged(version: number, at: number): void {
    this.versions.set(version, at);
  }

  /** An API key has gone from the configuration, which the store has acknowledged. */
  withdrawn(apiKey: string, at: number): void {
    this.withdrawals.set(apiKey, at);
  }

  /** Number of requests by outcome. */
  counts(): Record<string, number> {
    const counts: Record<string, number> = { orders: this.orders.length };
    this.attempts.forEach((attempt) => {
      const name = `${attempt.kind} ${attempt.status ?? 'closed'}${attempt.complete ? '' : ' cut'}`;
      counts[name] = (counts[name] ?? 0) + 1;
    });
    return counts;
  }

  /** All broken promises. The requests sent after `calmFrom` show whether the system recovers. */
  violations(calmFrom: number): Violation[] {
    return [
      ...answerViolations(this.attempts),
      ...this.attempts.flatMap((attempt) => this.ofRuns(attempt)),
      ...this.attempts.flatMap((attempt) => this.ofConfiguration(attempt)),
      ...this.attempts.flatMap((attempt) => this.ofLoss(attempt)),
      ...this.ofUnknownRuns(),
      ...this.ofLeaving(),
      ...this.ofLeavingWord(),
      ...this.ofPauses(),
      ...this.ofOrders(),
      ...this.ofLimits(),
      ...this.ofCrashingRequests(),
      ...mixedStreamViolations(this.attempts),
      ...this.ofTakenUpStreams(),
      ...keyViolations(this.attempts, this.runs, this.withdrawals, this.bounds.revocationMs),
      ...this.ofRecovery(calmFrom),
    ].sort((a, b) => a.at - b.at);
  }

  private ofRuns({ id, kind, status, endedAt }: Attempt): Violation[] {
    const runs = this.runs.get(id) ?? [];
    const where = runs.map(({ endpoint, at }) => `${endpoint} at ${Math.round(at)}`).join(', ');
    const found: Violation[] = [];
    if ((kind === Kind.unsafe || kind === Kind.stream) && runs.length > 1) {
      found.push({ at: runs[1].at, rule: 'at most once', text: `${id} ran on ${where}` });
    }
    const mayRepeat = kind === Kind.safe || kind === Kind.resumable;
    if (promises.has(status) && runs.length > 0 && !mayRepeat) {
      found.push({
        at: endedAt,
        rule: 'true refusal',
        text: `${id} got ${status}, ran on ${where}`,
      });
    }
    return found;
  }

  private ofConfiguration(attempt: Attempt): Violation[] {
    const { addedIn, status, sentAt, id, process, start } = attempt;
    if (addedIn === undefined || status !== 404) return [];
    const before = this.attempts.find(
      (one) =>
        one.process === process &&
        one.start === start &&
        (one.addedIn ?? 0) >= addedIn &&
        one.endedAt < sentAt &&
        isSuccess(one),
    );
    if (before !== undefined) {
      const text = `${id} got 404 at ${process}, which had served version ${before.addedIn}`;
      return [{ at: attempt.endedAt, rule: 'configuration never older', text }];
    }
    const acknowledgedAt = this.versions.get(addedIn) ?? Infinity;
    const dueAt = acknowledgedAt + this.bounds.configurationMs;
    if (sentAt < dueAt || !this.inTouch(process, Math.min(acknowledgedAt, sentAt), sentAt))
      return [];
    const text = `${id} got 404 at ${process}, version ${addedIn} was acknowledged at ${Math.round(acknowledgedAt)}`;
    return [{ at: attempt.endedAt, rule: 'configuration in force', text }];
  }

  /** Requests that were passed on to a sound endpoint by a sound process and got no whole answer. */
  private ofLoss(attempt: Attempt): Violation[] {
    const { id, process, sentAt, endedAt, status, complete, crashCause } = attempt;
    if (crashCause !== undefined) return [];
    const runs = this.runs.get(id) ?? [];
    const isOver = complete || endedAt - sentAt >= this.bounds.answerMs;
    if (isOver || runs.length === 0) return [];
    const names = [process, ...runs.map(({ endpoint }) => endpoint)];
    if (this.disturbances.any(names, sentAt - this.bounds.contactMs, endedAt)) return [];
    const text = `${id} of ${process} ended with ${status ?? 'a closed connection'}, not whole`;
    return [{ at: endedAt, rule: 'no loss', text }];
  }

  /** Runs that no caller asked for. */
  private ofUnknownRuns(): Violation[] {
    const ids = new Set(this.attempts.map(({ id }) => id));
    return [...this.runs.values()]
      .flat()
      .filter(({ id }) => !ids.has(id))
      .map(({ id, endpoint, at }) => ({ at, rule: 'asked for', text: `${endpoint} ran ${id}` }));
  }

  private ofLeaving(): Violation[] {
    const processOf = new Map(this.attempts.map(({ id, process }) => [id, process]));
    return [...this.runs.values()].flat().flatMap(({ id, endpoint, at, leavingSince }) => {
      const process = processOf.get(id);
      if (leavingSince === undefined || process === undefined) return [];
      const lateMs = at - leavingSince - this.bounds.drainMs;
      if (lateMs <= 0 || !this.inTouch(process, leavingSince, at)) return [];
      const text = `${id} of ${process} reached ${endpoint} ${Math.round(lateMs)} ms too late`;
      return [{ at, rule: 'leaving endpoint', text }];
    });
  }

  /** Requests to an endpoint that had said in an answer through the same process that it leaves. */
  private ofLeavingWord(): Violation[] {
    const keyOf = ({ process, start }: Attempt, endpoint: string) =>
      `${process} ${start} ${endpoint}`;
    const told = new Map<string, number>();
    this.attempts.forEach((attempt) => {
      if (!attempt.saysLeaving || attempt.endpoint === undefined) return;
      const key = keyOf(attempt, attempt.endpoint);
      told.set(key, Math.min(told.get(key) ?? Infinity, attempt.endedAt));
    });
    return this.attempts.flatMap((attempt) =>
      (this.runs.get(attempt.id) ?? []).flatMap(({ endpoint, at }) => {
        const since = told.get(keyOf(attempt, endpoint)) ?? Infinity;
        const isLate = attempt.sentAt > since + this.bounds.drainMs;
        if (!isLate || this.disturbances.any([haltOf(attempt.process)], since, at)) return [];
        const text = `${attempt.id} of ${attempt.process} reached ${endpoint}, which had told it that it leaves`;
        return [{ at, rule: 'leaving endpoint', text }];
      }),
    );
  }

  /** Requests and orders that reached an endpoint in the pause that it had asked the process for. */
  private ofPauses(): Violation[] {
    const byId = new Map(this.attempts.map((attempt) => [attempt.id, attempt]));
    const arrivals = [...[...this.runs.values()].flat(), ...this.refusals].flatMap(
      ({ id, endpoint, at }) => {
        const process = byId.get(id)?.process;
        return process === undefined ? [] : [{ process, endpoint, at }];
      },
    );
    const orders = this.orders.map(({ holder, endpoint, at }) => ({
      process: holder,
      endpoint,
      at,
    }));
    return this.refusals.flatMap(({ id, endpoint, at, pauseMs }) => {
      const process = byId.get(id)?.process;
      if (process === undefined || this.disturbances.any([process], at, at + pauseMs)) return [];
      const inPause = [...arrivals, ...orders].filter(
        (one) =>
          one.process === process &&
          one.endpoint === endpoint &&
          one.at > at + pauseSlackMs &&
          one.at < at + pauseMs,
      );
      if (inPause.length <= maxInPause) return [];
      const text = `${inPause.length} requests of ${process} reached ${endpoint} in its pause`;
      return [{ at, rule: 'pause of an endpoint', text }];
    });
  }

  /** Calls of all processes together beyond the limit that an endpoint states. */
  private ofLimits(): Violation[] {
    const byId = new Map(this.attempts.map((attempt) => [attempt.id, attempt]));
    const arrivals = this.calls.map((call): Arrival => {
      const attempt = call.request === undefined ? undefined : byId.get(call.request);
      const process = attempt?.process ?? call.holder;
      const answeredAt = attempt?.endedAt ?? call.at;
      return { ...call, process, start: attempt?.start ?? call.start, answeredAt };
    });
    const { contactMs } = this.bounds;
    return [...new Set(this.limits.map(({ endpoint }) => endpoint))].flatMap((endpoint) =>
      limitViolations(
        this.limits.filter((limit) => limit.endpoint === endpoint),
        arrivals.filter((arrival) => arrival.endpoint === endpoint),
        contactMs,
        // What a paused process had begun to send arrives when it goes on.
        ({ process, at }) =>
          process !== undefined && this.disturbances.any([haltOf(process)], at - contactMs, at),
      ),
    );
  }

  /** Requests that go on crashing engines, and sound ones that suffer beside them. */
  private ofCrashingRequests(): Violation[] {
    const { contactMs } = this.bounds;
    const { crashes, crashingRequests } = this;
    const byId = new Map(this.attempts.map((attempt) => [attempt.id, attempt]));
    const arrivals = this.calls.flatMap(({ request, endpoint, at }) => {
      const attempt = request === undefined ? undefined : byId.get(request);
      if (attempt?.crashCause === undefined || !this.inTouch(attempt.process, at, at)) return [];
      return [{ at, endpoint, cause: attempt.crashCause }];
    });
    const sound = this.attempts.filter(
      ({ crashCause, process, sentAt, endedAt }) =>
        crashCause === undefined && this.inTouch(process, sentAt, endedAt),
    );
    const toRequest = (attempt: Attempt): SoundRequest => ({
      sentAt: attempt.sentAt,
      hasBegun: isSuccess(attempt),
    });
    const lostBeside = (kind: CauseKind, requests: readonly Attempt[]) =>
      lostSoundViolations(
        crashingRequests.filter((one) => one.kind === kind),
        crashes,
        requests.map(toRequest),
        contactMs,
      );
    return [
      ...repeatedCrashViolations(crashes, arrivals, contactMs),
      ...lostBeside(
        CauseKind.part,
        sound.filter(({ promptParts }) => promptParts.length > 0),
      ),
      ...lostBeside(CauseKind.request, sound),
    ];
  }

  private ofTakenUpStreams(): Violation[] {
    const inTouch = this.attempts.filter(
      ({ kind, crashCause, process, sentAt, endedAt }) =>
        kind === Kind.resumable &&
        crashCause === undefined &&
        this.inTouch(process, sentAt, endedAt),
    );
    return lostStreamViolations(inTouch);
  }

  private ofOrders(): Violation[] {
    const last = new Map<string, Order>();
    return [...this.orders]
      .filter((order) => !this.wasHeldUp(order))
      .sort((a, b) => a.at - b.at)
      .flatMap((order) => {
        const before = last.get(order.endpoint);
        last.set(order.endpoint, order);
        if (before === undefined || before.holder === order.holder) return [];
        const pauseMs = order.at - before.at;
        const pair = `${before.holder} ${before.fence}, ${order.holder} ${order.fence}`;
        const text = `${order.endpoint}: ${pair}, ${Math.round(pauseMs)} ms apart`;
        const inOrder = order.fence > before.fence;
        return inOrder && pauseMs >= this.bounds.holderPauseMs
          ? []
          : [{ at: order.at, rule: 'one holder', text }];
      });
  }

  /** Whether an order may have waited in a link that has just healed, or in a process that was paused. */
  private wasHeldUp({ endpoint, holder, at }: Order): boolean {
    return this.disturbances.ended([endpoint, holder], at - this.bounds.healedMs, at);
  }

  private ofRecovery(calmFrom: number): Violation[] {
    const calm = this.attempts.filter(
      ({ sentAt, apiKey }) => sentAt >= calmFrom && !this.withdrawals.has(apiKey),
    );
    const served = calm.filter((attempt) => isSuccess(attempt) && attempt.complete).length;
    if (calm.length > 0 && served >= this.bounds.recoveredShare * calm.length) return [];
    const text = `${served} of ${calm.length} requests were served after the last fault`;
    return [{ at: calmFrom, rule: 'recovery', text }];
  }

  /** Whether a process and the store were undisturbed from a while before `from` up to `to`. */
  private inTouch(process: string, from: number, to: number): boolean {
    const names = [process, stopOf(process), 'store'];
    return !this.disturbances.any(names, from - this.bounds.contactMs, to);
  }
}
