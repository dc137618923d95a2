import { type Clock, describeFailure, FailureKind, type Telemetry } from '@currantdrift/core';
import type { EndpointRecord, EngineReport } from '@currantdrift/fleet';
import { type EngineControl, type EngineOrder, OrderResponse } from '../connection/engine-control';
import type { UnloadDelayEstimator } from './unload-delay-estimator';

/** Delay between attempts to send an order, in ms. */
const retryMs = 100;

/** Number of early retries after a conflict, and the delay before each, in ms. */
const earlyRetries = 2;
const earlyRetryMs = 50;

/** Upper bound for how far the contents of a report lag behind the engine's state, in ms. */
const reportLagMs = 600;

/** Number of attempts after which an order is abandoned. */
const maxAttempts = 40;

/** Interval in ms, and limit, of polls of an engine that is busy with an unknown order. */
const pollMs = 120;
const maxPolls = 400;

/** An order that was not sent, because the engine takes no calls of this process now. */
const unsent = 'unsent';

/** Outcome of an order. */
export const OrderOutcome = {
  /** The engine has accepted the order and is executing it. */
  accepted: 'accepted',
  /** The engine has executed the order. */
  done: 'done',
  /** The order was abandoned or another order came first; the engine's state must be read again. */
  abandoned: 'given up',
} as const;
export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];

/** What the queue needs from the controller that sends the orders. */
export interface EngineOrderOptions {
  readonly control: EngineControl;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly holder: string;
  readonly fence: number;
  /** Estimates how long unloads take, from the responses of all engines. */
  readonly unloads: UnloadDelayEstimator;
  /** Whether an order may be sent now. */
  readonly mayOrder: () => boolean;
}

export interface EngineOrderQueueOptions extends EngineOrderOptions {
  readonly record: () => EndpointRecord;
  readonly isClosed: () => boolean;
  /** Whether the current plan accounts for all adapters in a report. */
  readonly expectsAdapters: (report: EngineReport) => boolean;
}

/** An order before its order count, holder and fencing token are set. */
export interface OrderRequest {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  readonly adapter?: string;
}

/** Whether a report contains the model or adapter that an order loads or unloads. */
const isPresent = ({ model, adapter }: OrderRequest, { models }: EngineReport): boolean => {
  const held = models.find(({ name }) => name === model);
  return held !== undefined && (adapter === undefined || held.adapters.includes(adapter));
};

/**
 * Sends orders to one engine, one at a time. Each order states how many orders the engine must have
 * accepted before it, so that an order that is retried after a lost response takes effect at most once.
 */
export class EngineOrderQueue {
  private accepted: number | undefined;

  private sentAt: number | undefined;

  private acceptedAt = -Infinity;

  /** Time of the last model unload; cleared when the next order gets a response. */
  private unloadedAt: number | undefined;

  private queueTail: Promise<unknown> = Promise.resolve();

  private constructor(private readonly options: EngineOrderQueueOptions) {}

  static create(options: EngineOrderQueueOptions): EngineOrderQueue {
    return new EngineOrderQueue(options);
  }

  /** Number of orders accepted by the engine since its start; undefined before the first report. */
  get count(): number | undefined {
    return this.accepted;
  }

  /** Time at which the last order was sent, in ms. */
  get lastSentAt(): number | undefined {
    return this.sentAt;
  }

  /** Applies the count of a report. Reports lag, so the count must not fall below accepted orders. */
  mergeReportedCount(count: number): void {
    this.accepted = Math.max(this.accepted ?? 0, count);
  }

  /** Queues an order; retries it until the engine has accepted it or it is abandoned. */
  submit(request: OrderRequest): Promise<OrderOutcome> {
    const sent = this.queueTail.then(() => this.send(request));
    this.queueTail = sent.catch(() => {});
    return sent;
  }

  /**
   * Whether the engine has finished a load. Sends the same order again: the response reflects the current
   * state, while reports lag, and the order count prevents it from taking effect after a later order.
   */
  confirm(load: OrderRequest): Promise<boolean> {
    const confirmed = this.queueTail.then(async () => {
      const { isClosed, mayOrder } = this.options;
      if (isClosed() || !mayOrder()) return false;
      const orderCount = this.accepted ?? 0;
      // While the load is in progress, the engine accepts the same order again without counting it.
      return (await this.sendOnce(load, orderCount, 1)) === OrderResponse.alreadySatisfied;
    });
    this.queueTail = confirmed.catch(() => {});
    return confirmed;
  }

  /** Reads a report that reflects all orders so far; no order is sent until it has been read. */
  readSettledReport(): Promise<EngineReport | undefined> {
    const settledReport = this.queueTail.then(async () => {
      const { clock } = this.options;
      await clock.sleep(Math.max(0, this.acceptedAt + reportLagMs - clock.now()));
      return this.read();
    });
    this.queueTail = settledReport.catch(() => {});
    return settledReport;
  }

  private async send(request: OrderRequest): Promise<OrderOutcome> {
    const { clock, mayOrder, isClosed } = this.options;
    await this.awaitUnload();
    for (let tries = 1; tries <= maxAttempts; tries += 1) {
      if (isClosed() || !mayOrder()) return OrderOutcome.abandoned;
      const orderCount = this.accepted ?? 0;
      const response = await this.sendOnce(request, orderCount, tries);
      this.recordUnload(request, response);
      if (response === OrderResponse.accepted || response === OrderResponse.alreadySatisfied) {
        // An adapter unload completes within the call, and the engine counts it as an accepted order.
        const isUnloaded = request.kind === 'unload' && request.adapter !== undefined;
        if (response === OrderResponse.accepted || isUnloaded) this.recordAccepted(orderCount);
        return OrderOutcome.accepted;
      }
      const isRetried =
        response === undefined || response === unsent || response === OrderResponse.conflict;
      if (!isRetried) return OrderOutcome.abandoned;
      // A conflict in the first attempts usually means that the previous order is still in progress.
      const isEarly = response === OrderResponse.conflict && tries <= earlyRetries;
      const isUnclear = !isEarly && response !== unsent;
      const outcome = isUnclear
        ? await this.resolveUnclearResponse(request, orderCount)
        : undefined;
      if (outcome !== undefined) return outcome;
      await clock.sleep(isEarly ? earlyRetryMs : retryMs);
    }
    return OrderOutcome.abandoned;
  }

  /** Sends an order once; undefined if there was no response, `unsent` if it was not sent. */
  private async sendOnce(
    { kind, model, adapter }: OrderRequest,
    orderCount: number,
    tries: number,
  ): Promise<OrderResponse | typeof unsent | undefined> {
    const { clock, control, telemetry, holder, fence, mayOrder, record } = this.options;
    const order: EngineOrder = { kind, model, adapter, orderCount, holder, fence };
    this.sentAt = clock.now();
    const response = await control.order(record(), order, mayOrder);
    telemetry.log('order', {
      endpoint: record().id,
      ...order,
      tries,
      outcome: response.isOk() ? response.value : describeFailure(response.error),
    });
    if (response.isOk()) return response.value;
    return response.error.kind === FailureKind.refused ? unsent : undefined;
  }

  /** Updates the order count after the engine has accepted an order. */
  private recordAccepted(orderCount: number): void {
    this.acceptedAt = this.options.clock.now();
    this.accepted = orderCount + 1;
  }

  /** Waits for the estimated end of an unload that was just accepted. */
  private async awaitUnload(): Promise<void> {
    if (this.unloadedAt === undefined) return;
    const { clock, unloads } = this.options;
    await clock.sleep(Math.max(0, this.unloadedAt + unloads.pauseMs - clock.now()));
  }

  /** Updates the unload delay estimate from the first response after an unload. */
  private recordUnload(
    { kind, adapter }: OrderRequest,
    response: OrderResponse | typeof unsent | undefined,
  ): void {
    if (response === unsent) return;
    const now = this.options.clock.now();
    if (this.unloadedAt !== undefined && response !== undefined) {
      this.options.unloads.observe(response === OrderResponse.conflict, now - this.unloadedAt);
    }
    const isUnload = kind === 'unload' && adapter === undefined;
    this.unloadedAt = isUnload && response === OrderResponse.accepted ? now : undefined;
  }

  /**
   * Reads a report after an order without a conclusive response; undefined if the order must be sent
   * again. The engine may meanwhile have executed an order of an earlier controller, or an abandoned one
   * of this controller; then the plan behind this order no longer matches the engine's state.
   */
  private async resolveUnclearResponse(
    request: OrderRequest,
    orderCount: number,
  ): Promise<OrderOutcome | undefined> {
    const first = await this.read();
    if (first === undefined) return undefined;
    const sinceAccepted = this.options.clock.now() - this.acceptedAt;
    if (sinceAccepted > reportLagMs) {
      // The engine did not count an order that was recorded as accepted: the unloaded adapter was absent.
      this.accepted = first.orderCount;
      const isAdapterLoad = request.kind === 'load' && request.adapter !== undefined;
      if (isAdapterLoad && !this.options.expectsAdapters(first)) return OrderOutcome.abandoned;
    }
    if (first.orderCount <= orderCount) return undefined;
    const report = await this.awaitIdleReport(first);
    this.accepted = report.orderCount;
    return isPresent(request, report) === (request.kind === 'load')
      ? OrderOutcome.done
      : OrderOutcome.abandoned;
  }

  /** Polls until the engine is idle: only then does its report show which order it had accepted. */
  private async awaitIdleReport(first: EngineReport): Promise<EngineReport> {
    const { clock, isClosed } = this.options;
    let report = first;
    for (let polls = 0; report.busy && polls < maxPolls && !isClosed(); polls += 1) {
      await clock.sleep(pollMs);
      report = (await this.read()) ?? report;
    }
    return report;
  }

  private async read(): Promise<EngineReport | undefined> {
    const { control, record } = this.options;
    const report = await control.report(record());
    return report.isOk() ? report.value : undefined;
  }
}
