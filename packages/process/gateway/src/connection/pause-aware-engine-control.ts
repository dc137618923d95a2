import { type Clock, type Failure, FailureKind } from '@currantdrift/core';
import type { EndpointDirectory, EndpointRecord, EngineReport } from '@currantdrift/fleet';
import { err, type Result } from 'neverthrow';
import type { EngineControl, EngineOrder, OrderResponse } from './engine-control';

/** Calls to engines, none of which reaches one that has asked this process for a pause. */
export class PauseAwareEngineControl implements EngineControl {
  private constructor(
    private readonly control: EngineControl,
    private readonly directory: EndpointDirectory,
    private readonly clock: Clock,
  ) {}

  static create(
    control: EngineControl,
    directory: EndpointDirectory,
    clock: Clock,
  ): PauseAwareEngineControl {
    return new PauseAwareEngineControl(control, directory, clock);
  }

  report(record: EndpointRecord): Promise<Result<EngineReport, Failure>> {
    return this.pauseFailure('engine.report', record) ?? this.control.report(record);
  }

  order(
    record: EndpointRecord,
    order: EngineOrder,
    mayOrder: () => boolean,
  ): Promise<Result<OrderResponse, Failure>> {
    return this.pauseFailure('engine.order', record) ?? this.control.order(record, order, mayOrder);
  }

  private pauseFailure(
    step: string,
    { id }: EndpointRecord,
  ): Promise<Result<never, Failure>> | undefined {
    const pauseLeftMs = this.directory.pausedUntil(id) - this.clock.now();
    if (pauseLeftMs <= 0) return undefined;
    const message = `the engine asks for a pause of ${Math.round(pauseLeftMs)} ms more`;
    return Promise.resolve(err({ kind: FailureKind.refused, step, peer: id, message }));
  }
}
