import { type Clock, describeFailure, type Telemetry } from '@currantdrift/core';
import type { EndpointRecord, EngineReport } from '@currantdrift/fleet';
import { type EngineControl, type EngineOrder, OrderResponse } from '../connection/engine-control';
import type { UnloadPace } from './unload-pace';

/** Pause between two tries of an order, in ms. */
const retryMs = 100;

/** First tries of an order after a conflict, and the pause between them in ms. */
const quickTries = 2;
const quickRetryMs = 50;

/** Age up to which what a report says may be, in ms. */
const reportLagMs = 600;

/** Tries of one order after which it is given up. */
const maxTries = 40;

/** Pause between two reports of an engine that is busy with an unknown order, and their number. */
const pollMs = 120;
const maxPolls = 400;

/** What became of an order. */
export const OrderEnd = {
  /** The engine has accepted it and carries it out. */
  accepted: 'accepted',
  /** The engine has carried it out. */
  done: 'done',
  /** It was given up, or another order came first; what the engine holds has to be read again. */
  givenUp: 'given up',
} as const;
export type OrderEnd = (typeof OrderEnd)[keyof typeof OrderEnd];

/** What orders to engines need from the controller that gives them. */
export interface OrderOptions {
  readonly control: EngineControl;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly holder: string;
  readonly fence: number;
  /** How long unloads take, as far as the orders to all engines have shown. */
  readonly unloads: UnloadPace;
  /** Whether an order may be sent now. */
  readonly mayOrder: () => boolean;
}

export interface EngineOrdersOptions extends OrderOptions {
  readonly record: () => EndpointRecord;
  readonly isClosed: () => boolean;
  /** Whether the plans so far have counted on all adapters that a report shows. */
  readonly expects: (report: EngineReport) => boolean;
}

/** An order before its count, holder and token are known. */
export interface WantedOrder {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  readonly adapter?: string;
}

/** Whether the engine holds what an order loads or unloads. */
const isPresent = ({ model, adapter }: WantedOrder, { models }: EngineReport): boolean => {
  const held = models.find(({ name }) => name === model);
  return held !== undefined && (adapter === undefined || held.adapters.includes(adapter));
};

/**
 * The orders to one engine, sent one after the other. Each names the number of orders that the engine
 * must have accepted before, so that one without an answer takes effect at most once.
 */
export class EngineOrders {
  private accepted: number | undefined;

  private sentAt: number | undefined;

  private acceptedAt = -Infinity;

  /** Time of the last unload of a model, until the order after it was answered. */
  private unloadedAt: number | undefined;

  private sending: Promise<unknown> = Promise.resolve();

  private constructor(private readonly options: EngineOrdersOptions) {}

  static create(options: EngineOrdersOptions): EngineOrders {
    return new EngineOrders(options);
  }

  /** Orders that the engine has accepted since its start; undefined until it has reported. */
  get count(): number | undefined {
    return this.accepted;
  }

  /** Time of the last order, in ms. */
  get lastAt(): number | undefined {
    return this.sentAt;
  }

  /** Takes the count of a report, which lags: it must not take back orders that were accepted. */
  reported(count: number): void {
    this.accepted = Math.max(this.accepted ?? 0, count);
  }

  /** Sends an order until the engine has accepted it or it is given up. */
  submit(wanted: WantedOrder): Promise<OrderEnd> {
    const sent = this.sending.then(() => this.send(wanted));
    this.sending = sent.catch(() => {});
    return sent;
  }

  /**
   * Whether the engine has carried out a load. Asks by the same order again: its answer is current, while
   * reports lag, and the count keeps it from taking effect after a later one.
   */
  confirm(load: WantedOrder): Promise<boolean> {
    const asked = this.sending.then(async () => {
      const { isClosed, mayOrder } = this.options;
      if (isClosed() || !mayOrder()) return false;
      const orderCount = this.accepted ?? 0;
      // While the load is under way the engine accepts the same order again and does not count it.
      return (await this.attempt(load, orderCount, 1)) === OrderResponse.alreadySatisfied;
    });
    this.sending = asked.catch(() => {});
    return asked;
  }

  /** The engine's report once it shows all orders so far; none is sent meanwhile. */
  inspect(): Promise<EngineReport | undefined> {
    const inspected = this.sending.then(async () => {
      const { clock } = this.options;
      await clock.sleep(Math.max(0, this.acceptedAt + reportLagMs - clock.now()));
      return this.read();
    });
    this.sending = inspected.catch(() => {});
    return inspected;
  }

  private async send(wanted: WantedOrder): Promise<OrderEnd> {
    const { clock, mayOrder, isClosed } = this.options;
    await this.awaitUnload();
    for (let tries = 1; tries <= maxTries; tries += 1) {
      if (isClosed() || !mayOrder()) return OrderEnd.givenUp;
      const orderCount = this.accepted ?? 0;
      const answer = await this.attempt(wanted, orderCount, tries);
      this.noteUnload(wanted, answer);
      if (answer === OrderResponse.accepted || answer === OrderResponse.alreadySatisfied) {
        // An adapter is unloaded within the call, which counts as an accepted order.
        const isUnloaded = wanted.kind === 'unload' && wanted.adapter !== undefined;
        if (answer === OrderResponse.accepted || isUnloaded) this.counted(orderCount);
        return OrderEnd.accepted;
      }
      if (answer !== undefined && answer !== OrderResponse.conflict) return OrderEnd.givenUp;
      // A conflict soon after an accepted order mostly means that this one is still under way.
      const isEarly = answer === OrderResponse.conflict && tries <= quickTries;
      const end = isEarly ? undefined : await this.afterDoubt(wanted, orderCount);
      if (end !== undefined) return end;
      await clock.sleep(isEarly ? quickRetryMs : retryMs);
    }
    return OrderEnd.givenUp;
  }

  /** Sends an order once; undefined if it has no answer. */
  private async attempt(
    { kind, model, adapter }: WantedOrder,
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
  private counted(orderCount: number): void {
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
  private noteUnload({ kind, adapter }: WantedOrder, answer: OrderResponse | undefined): void {
    const now = this.options.clock.now();
    if (this.unloadedAt !== undefined && answer !== undefined) {
      this.options.unloads.answered(answer === OrderResponse.conflict, now - this.unloadedAt);
    }
    const isUnload = kind === 'unload' && adapter === undefined;
    this.unloadedAt = isUnload && answer === OrderResponse.accepted ? now : undefined;
  }

  /**
   * Reads the report after an order without a clear answer; undefined if the order is to be sent again.
   * An order of an earlier holder, or an own one that was given up, may be carried out in between: then
   * the plan behind this order no longer fits what the engine holds.
   */
  private async afterDoubt(wanted: WantedOrder, orderCount: number): Promise<OrderEnd | undefined> {
    const first = await this.read();
    if (first === undefined) return undefined;
    const sinceAccepted = this.options.clock.now() - this.acceptedAt;
    if (sinceAccepted > reportLagMs) {
      // The engine did not count an order that it answered as done: an adapter was not there.
      this.accepted = first.orderCount;
      const isAdapterLoad = wanted.kind === 'load' && wanted.adapter !== undefined;
      if (isAdapterLoad && !this.options.expects(first)) return OrderEnd.givenUp;
    }
    if (first.orderCount <= orderCount) return undefined;
    const report = await this.whenIdle(first);
    this.accepted = report.orderCount;
    return isPresent(wanted, report) === (wanted.kind === 'load')
      ? OrderEnd.done
      : OrderEnd.givenUp;
  }

  /** The report once the engine is idle: only then it shows which order it had accepted. */
  private async whenIdle(first: EngineReport): Promise<EngineReport> {
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
