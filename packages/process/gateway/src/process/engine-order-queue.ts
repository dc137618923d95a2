import { type Clock, describeFailure, type Telemetry } from '@currantdrift/core';
import type { EndpointRecord, EngineReport } from '@currantdrift/fleet';
import { type EngineControl, type EngineOrder, OrderResponse } from '../connection/engine-control';
import type { UnloadDelayEstimator } from './unload-delay-estimator';

/** Pause between two tries of an order, in ms. */
const retryMs = 100;

/** First tries of an order after a conflict, and the pause between them in ms. */
const earlyRetries = 2;
const earlyRetryMs = 50;

/** Age up to which what a report says may be, in ms. */
const reportLagMs = 600;

/** Tries of one order after which it is given up. */
const maxAttempts = 40;

/** Pause between two reports of an engine that is busy with an unknown order, and their number. */
const pollMs = 120;
const maxPolls = 400;

/** What became of an order. */
export const OrderOutcome = {
  /** The engine has accepted it and carries it out. */
  accepted: 'accepted',
  /** The engine has carried it out. */
  done: 'done',
  /** It was given up, or another order came first; what the engine holds has to be read again. */
  abandoned: 'given up',
} as const;
export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];

/** What orders to engines need from the controller that gives them. */
export interface EngineOrderOptions {
  readonly control: EngineControl;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly holder: string;
  readonly fence: number;
  /** How long unloads take, as far as the orders to all engines have shown. */
  readonly unloads: UnloadDelayEstimator;
  /** Whether an order may be sent now. */
  readonly mayOrder: () => boolean;
}

export interface EngineOrderQueueOptions extends EngineOrderOptions {
  readonly record: () => EndpointRecord;
  readonly isClosed: () => boolean;
  /** Whether the plans so far have counted on all adapters that a report shows. */
  readonly expectsAdapters: (report: EngineReport) => boolean;
}

/** An order before its count, holder and token are known. */
export interface OrderRequest {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  readonly adapter?: string;
}

/** Whether the engine holds what an order loads or unloads. */
const isPresent = ({ model, adapter }: OrderRequest, { models }: EngineReport): boolean => {
  const held = models.find(({ name }) => name === model);
  return held !== undefined && (adapter === undefined || held.adapters.includes(adapter));
};

/**
 * The orders to one engine, sent one after the other. Each names the number of orders that the engine
 * must have accepted before, so that one without an answer takes effect at most once.
 */
export class EngineOrderQueue {
  private accepted: number | undefined;

  private sentAt: number | undefined;

  private acceptedAt = -Infinity;

  /** Time of the last unload of a model, until the order after it was answered. */
  private unloadedAt: number | undefined;

  private queueTail: Promise<unknown> = Promise.resolve();

  private constructor(private readonly options: EngineOrderQueueOptions) {}

  static create(options: EngineOrderQueueOptions): EngineOrderQueue {
    return new EngineOrderQueue(options);
  }

  /** Orders that the engine has accepted since its start; undefined until it has reported. */
  get count(): number | undefined {
    return this.accepted;
  }

  /** Time of the last order, in ms. */
  get lastSentAt(): number | undefined {
    return this.sentAt;
  }

  /** Takes the count of a report, which lags: it must not take back orders that were accepted. */
  mergeReportedCount(count: number): void {
    this.accepted = Math.max(this.accepted ?? 0, count);
  }

  /** Sends an order until the engine has accepted it or it is given up. */
  submit(wanted: OrderRequest): Promise<OrderOutcome> {
    const sent = this.queueTail.then(() => this.send(wanted));
    this.queueTail = sent.catch(() => {});
    return sent;
  }

  /**
   * Whether the engine has carried out a load. Asks by the same order again: its answer is current, while
   * reports lag, and the count keeps it from taking effect after a later one.
   */
  confirm(load: OrderRequest): Promise<boolean> {
    const asked = this.queueTail.then(async () => {
      const { isClosed, mayOrder } = this.options;
      if (isClosed() || !mayOrder()) return false;
      const orderCount = this.accepted ?? 0;
      // While the load is under way the engine accepts the same order again and does not count it.
      return (await this.sendOnce(load, orderCount, 1)) === OrderResponse.alreadySatisfied;
    });
    this.queueTail = asked.catch(() => {});
    return asked;
  }

  /** The engine's report once it shows all orders so far; none is sent meanwhile. */
  readSettledReport(): Promise<EngineReport | undefined> {
    const inspected = this.queueTail.then(async () => {
      const { clock } = this.options;
      await clock.sleep(Math.max(0, this.acceptedAt + reportLagMs - clock.now()));
      return this.read();
    });
    this.queueTail = inspected.catch(() => {});
    return inspected;
  }

  private async send(wanted: OrderRequest): Promise<OrderOutcome> {
    const { clock, mayOrder, isClosed } = this.options;
    await this.awaitUnload();
    for (let tries = 1; tries <= maxAttempts; tries += 1) {
      if (isClosed() || !mayOrder()) return OrderOutcome.abandoned;
      const orderCount = this.accepted ?? 0;
      const answer = await this.sendOnce(wanted, orderCount, tries);
      this.recordUnload(wanted, answer);
      if (answer === OrderResponse.accepted || answer === OrderResponse.alreadySatisfied) {
        // An adapter is unloaded within the call, which counts as an accepted order.
        const isUnloaded = wanted.kind === 'unload' && wanted.adapter !== undefined;
        if (answer === OrderResponse.accepted || isUnloaded) this.recordAccepted(orderCount);
        return OrderOutcome.accepted;
      }
      if (answer !== undefined && answer !== OrderResponse.conflict) return OrderOutcome.abandoned;
      // A conflict soon after an accepted order mostly means that this one is still under way.
      const isEarly = answer === OrderResponse.conflict && tries <= earlyRetries;
      const end = isEarly ? undefined : await this.resolveUnclearResponse(wanted, orderCount);
      if (end !== undefined) return end;
      await clock.sleep(isEarly ? earlyRetryMs : retryMs);
    }
    return OrderOutcome.abandoned;
  }

  /** Sends an order once; undefined if it has no answer. */
  private async sendOnce(
    { kind, model, adapter }: OrderRequest,
    orderCount: number,
    tries: number,
  ): Promise<OrderResponse | undefined> {
    const { clock, control, telemetry, holder, fence, mayOrder, record } = this.options;
    const order: EngineOrder = { kind, model, adapter, orderCount, holder, fence };
    this.sentAt = clock.now();
    const answer = await control.order(record(), order, mayOrder);
    telemetry.log('order', {
      endpoint: record().id,
      ...order,
      tries,
      outcome: answer.isOk() ? answer.value : describeFailure(answer.error),
    });
    return answer.isOk() ? answer.value : undefined;
  }

  /** Counts an order that the engine has accepted. */
  private recordAccepted(orderCount: number): void {
    this.acceptedAt = this.options.clock.now();
    this.accepted = orderCount + 1;
  }

  /** Waits for the end of an unload that was just accepted. */
  private async awaitUnload(): Promise<void> {
    if (this.unloadedAt === undefined) return;
    const { clock, unloads } = this.options;
    await clock.sleep(Math.max(0, this.unloadedAt + unloads.pauseMs - clock.now()));
  }

  /** Learns from the first answer after an unload how long that takes. */
  private recordUnload({ kind, adapter }: OrderRequest, answer: OrderResponse | undefined): void {
    const now = this.options.clock.now();
    if (this.unloadedAt !== undefined && answer !== undefined) {
      this.options.unloads.observe(answer === OrderResponse.conflict, now - this.unloadedAt);
    }
    const isUnload = kind === 'unload' && adapter === undefined;
    this.unloadedAt = isUnload && answer === OrderResponse.accepted ? now : undefined;
  }

  /**
   * Reads the report after an order without a clear answer; undefined if the order is to be sent again.
   * An order of an earlier holder, or an own one that was given up, may be carried out in between: then
   * the plan behind this order no longer fits what the engine holds.
   */
  private async resolveUnclearResponse(
    wanted: OrderRequest,
    orderCount: number,
  ): Promise<OrderOutcome | undefined> {
    const first = await this.read();
    if (first === undefined) return undefined;
    const sinceAccepted = this.options.clock.now() - this.acceptedAt;
    if (sinceAccepted > reportLagMs) {
      // The engine did not count an order that it answered as done: an adapter was not there.
      this.accepted = first.orderCount;
      const isAdapterLoad = wanted.kind === 'load' && wanted.adapter !== undefined;
      if (isAdapterLoad && !this.options.expectsAdapters(first)) return OrderOutcome.abandoned;
    }
    if (first.orderCount <= orderCount) return undefined;
    const report = await this.awaitIdleReport(first);
    this.accepted = report.orderCount;
    return isPresent(wanted, report) === (wanted.kind === 'load')
      ? OrderOutcome.done
      : OrderOutcome.abandoned;
  }

  /** The report once the engine is idle: only then it shows which order it had accepted. */
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
