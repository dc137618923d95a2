import { type Clock, describeFailure, type Telemetry } from '@currantdrift/core';
import type { EndpointRecord, EngineReport } from '@currantdrift/fleet';
import { type EngineControl, type EngineOrder, OrderAnswer } from '../connection/engine-control';

/** Pause between two tries of an order, in ms. */
const retryMs = 100;

/** First tries of an order after a conflict, and the pause between them in ms. */
const quickTries = 2;
const quickRetryMs = 50;

/** Age up to which what a report says may be, in ms. */
export const reportLagMs = 600;

/** Tries of one order after which it is given up. */
const maxTries = 40;

export interface EngineOrdersOptions {
  readonly control: EngineControl;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly holder: string;
  readonly fence: number;
  /** Whether an order may be sent now. */
  readonly mayOrder: () => boolean;
  readonly record: () => EndpointRecord;
  readonly isClosed: () => boolean;
}

/** An order before its count, holder and token are known. */
export interface WantedOrder {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  readonly adapter?: string;
}

/**
 * The orders to one engine, sent one after the other. Each names the number of orders that the engine
 * must have accepted before, so that one without an answer takes effect at most once.
 */
export class EngineOrders {
  private accepted: number | undefined;

  private sentAt: number | undefined;

  private acceptedAt = -Infinity;

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

  /** Sends an order until the engine has accepted it; false if it was given up. */
  submit(wanted: WantedOrder): Promise<boolean> {
    const sent = this.sending.then(() => this.send(wanted));
    this.sending = sent.catch(() => {});
    return sent;
  }

  private async send(wanted: WantedOrder): Promise<boolean> {
    const { clock, control, telemetry, holder, fence, mayOrder, record, isClosed } = this.options;
    for (let tries = 1; tries <= maxTries; tries += 1) {
      if (isClosed() || !mayOrder()) return false;
      const orderCount = this.accepted ?? 0;
      const order: EngineOrder = {
        kind: wanted.kind,
        model: wanted.model,
        adapter: wanted.adapter,
        orderCount,
        holder,
        fence,
      };
      this.sentAt = clock.now();
      const answer = await control.order(record(), order, mayOrder);
      telemetry.log('order', {
        endpoint: record().id,
        ...order,
        tries,
        outcome: answer.isOk() ? answer.value : describeFailure(answer.error),
      });
      if (answer.isOk()) {
        if (answer.value === OrderAnswer.accepted) {
          this.acceptedAt = clock.now();
          this.accepted = orderCount + 1;
          return true;
        }
        if (answer.value === OrderAnswer.holds) {
          // An adapter is unloaded within the call, which counts as an accepted order.
          if (wanted.kind === 'unload' && wanted.adapter !== undefined) {
            this.acceptedAt = clock.now();
            this.accepted = orderCount + 1;
          }
          return true;
        }
        if (answer.value !== OrderAnswer.conflict) return false;
      }
      // A conflict soon after an accepted order mostly means that this one is still under way.
      const isEarly = answer.isOk() && tries <= quickTries;
      if (!isEarly && (await this.afterDoubt(wanted, orderCount))) return true;
      await clock.sleep(isEarly ? quickRetryMs : retryMs);
    }
    return false;
  }

  /** Reads the report after an order without a clear answer; true if the order was accepted. */
  private async afterDoubt(wanted: WantedOrder, orderCount: number): Promise<boolean> {
    const { control, record } = this.options;
    const read = await control.report(record());
    if (read.isErr()) return false;
    const report: EngineReport = read.value;
    const sinceAccepted = this.options.clock.now() - this.acceptedAt;
    // The engine did not count an order that it answered as done.
    if (sinceAccepted > reportLagMs) this.accepted = report.orderCount;
    if (report.orderCount <= orderCount) return false;
    this.accepted = report.orderCount;
    const held = report.models.find(({ name }) => name === wanted.model);
    const present =
      wanted.adapter === undefined
        ? held !== undefined
        : held?.adapters.includes(wanted.adapter) === true;
    return report.busy || present === (wanted.kind === 'load');
  }
}
