import { type Clock, type Failure, FailureKind } from '@currantdrift/core';
import type { EndpointDirectory, EndpointRecord, EngineReport } from '@currantdrift/fleet';
import { err, type Result } from 'neverthrow';
import type { EngineControl, EngineOrder, OrderResponse } from './engine-control';

/** Calls to engines, none of which reaches one that has asked this process for a pause. */
export class PausingControl implements EngineControl {
  private constructor(
    private readonly control: EngineControl,
    private readonly directory: EndpointDirectory,
    private readonly clock: Clock,
  ) {}

  static create(
    control: EngineControl,
    directory: EndpointDirectory,
    clock: Clock,
  ): PausingControl {
    return new PausingControl(control, directory, clock);
  }

  report(record: EndpointRecord): Promise<Result<EngineReport, Failure>> {
    return this.pause('engine.report', record) ?? this.control.report(record);
  }

  order(
    record: EndpointRecord,
    order: EngineOrder,
    mayOrder: () => boolean,
  ): Promise<Result<OrderResponse, Failure>> {
    return this.pause('engine.order', record) ?? this.control.order(record, order, mayOrder);
  }

  private pause(step: string, { id }: EndpointRecord): Promise<Result<never, Failure>> | undefined {
    const leftMs = this.directory.pausedUntil(id) - this.clock.now();
    if (leftMs <= 0) return undefined;
    const message = `the engine asks for a pause of ${Math.round(leftMs)} ms more`;
    return Promise.resolve(err({ kind: FailureKind.refused, step, peer: id, message }));
  }
}
