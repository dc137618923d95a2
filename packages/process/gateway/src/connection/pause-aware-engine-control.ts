import { type Clock, type Failure, FailureKind } from '@currantdrift/core';
import type { EndpointDirectory, EndpointRecord, EngineReport } from '@currantdrift/fleet';
import { err, type Result } from 'neverthrow';
import type { EngineControl, EngineOrder, OrderResponse } from './engine-control';

/** Rejects calls to engines that have asked this process to pause its requests. */
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
    const message = `the engine asked for a pause, which ends in ${Math.round(pauseLeftMs)} ms`;
    return Promise.resolve(err({ kind: FailureKind.refused, step, peer: id, message }));
  }
}
