import type { Failure, Telemetry } from '@currantdrift/core';
import type { EndpointDirectory, EndpointRecord, EngineReport } from '@currantdrift/fleet';
import type { Result } from 'neverthrow';
import type { EngineControl, EngineOrder, OrderResponse } from './engine-control';

/** Counts the calls to engines that limit their requests. */
export class LimitAwareEngineControl implements EngineControl {
  private constructor(
    private readonly control: EngineControl,
    private readonly directory: EndpointDirectory,
    private readonly telemetry: Telemetry,
  ) {}

  static create(
    control: EngineControl,
    directory: EndpointDirectory,
    telemetry: Telemetry,
  ): LimitAwareEngineControl {
    return new LimitAwareEngineControl(control, directory, telemetry);
  }

  report(record: EndpointRecord): Promise<Result<EngineReport, Failure>> {
    this.count(record, 'report');
    return this.control.report(record);
  }

  order(
    record: EndpointRecord,
    order: EngineOrder,
    mayOrder: () => boolean,
  ): Promise<Result<OrderResponse, Failure>> {
    this.count(record, 'order');
    return this.control.order(record, order, mayOrder);
  }

  private count(record: EndpointRecord, kind: 'report' | 'order'): void {
    if (this.directory.limits.rate(record) === undefined) return;
    this.telemetry.count('currantdrift_limited_calls_total', { kind });
  }
}
