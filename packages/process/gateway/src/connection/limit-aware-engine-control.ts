import { type Clock, type Failure, FailureKind, type Telemetry } from '@currantdrift/core';
import type { EndpointLimits, EndpointRecord, EngineReport } from '@currantdrift/fleet';
import { awaitPermit, type RequestPermits } from '@currantdrift/rate-limit';
import { err, ok, type Result } from 'neverthrow';
import type { EngineControl, EngineOrder, OrderResponse } from './engine-control';

/** Longest time for which a call to an engine waits for its permit, in ms. */
const maxPermitWaitMs = 2_000;

export interface LimitAwareEngineControlOptions {
  readonly control: EngineControl;
  readonly limits: EndpointLimits;
  readonly permits: RequestPermits;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
}

/** Delays reports and orders to engines that limit their requests until a permit allows them. */
export class LimitAwareEngineControl implements EngineControl {
  private constructor(private readonly options: LimitAwareEngineControlOptions) {}

  static create(options: LimitAwareEngineControlOptions): LimitAwareEngineControl {
    return new LimitAwareEngineControl(options);
  }

  async report(record: EndpointRecord): Promise<Result<EngineReport, Failure>> {
    const permitted = await this.awaitPermit('report', record);
    return permitted.isErr() ? err(permitted.error) : this.options.control.report(record);
  }

  async order(
    record: EndpointRecord,
    order: EngineOrder,
    mayOrder: () => boolean,
  ): Promise<Result<OrderResponse, Failure>> {
    const permitted = await this.awaitPermit('order', record);
    return permitted.isErr()
      ? err(permitted.error)
      : this.options.control.order(record, order, mayOrder);
  }

  private async awaitPermit(
    kind: 'report' | 'order',
    { id, bornAt }: EndpointRecord,
  ): Promise<Result<void, Failure>> {
    const { limits, permits, clock, telemetry } = this.options;
    const ratePerS = limits.rate({ id, bornAt });
    if (ratePerS === undefined) return ok();
    const endpoint = { endpoint: id, bornAt, ratePerS };
    const permitted = await awaitPermit(permits, clock, endpoint, maxPermitWaitMs);
    if (permitted.isErr()) {
      const { message } = permitted.error;
      return err({ kind: FailureKind.refused, step: `engine.${kind}`, peer: id, message });
    }
    telemetry.count('currantdrift_limited_calls_total', { kind });
    return ok();
  }
}
