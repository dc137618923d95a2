import { type Clock, type Failure, FailureKind, HostState } from '@currantdrift/core';
import type { EndpointDirectory, EndpointRecord } from '@currantdrift/fleet';
import { EngineState, type WatchedRequest } from '@currantdrift/quarantine';
import type { EngineControl } from './engine-control';

/** Pause before an engine is asked again whose answer broke off, in ms. */
const retryMs = 100;

/** Finds out whether an engine whose connections broke has ended. */
export class EngineProbe {
  private constructor(
    private readonly control: EngineControl,
    private readonly directory: EndpointDirectory,
    private readonly clock: Clock,
  ) {}

  static create(control: EngineControl, directory: EndpointDirectory, clock: Clock): EngineProbe {
    return new EngineProbe(control, directory, clock);
  }

  /** An engine that has announced its end counts as unknown, since it ends as planned. */
  async check({ endpoint, bornAt }: WatchedRequest): Promise<EngineState> {
    // The record of an engine that has left as planned may be gone already.
    if (this.directory.isLeaving(endpoint, bornAt)) return EngineState.unknown;
    const record = this.recordOf(endpoint, bornAt);
    if (record === undefined) return EngineState.ended;
    if (record.state === HostState.leaving) return EngineState.unknown;
    const first = await this.failure(record);
    if (first?.kind !== FailureKind.unknown) return this.stateAfter(record, first);
    await this.clock.sleep(retryMs);
    const second = await this.failure(record);
    return second?.kind === FailureKind.unknown
      ? EngineState.ended
      : this.stateAfter(record, second);
  }

  private recordOf(endpoint: string, bornAt: number): EndpointRecord | undefined {
    const record = this.directory.get(endpoint);
    return record?.bornAt === bornAt ? record : undefined;
  }

  private async failure(record: EndpointRecord): Promise<Failure | undefined> {
    const report = await this.control.report(record);
    return report.isOk() ? undefined : report.error;
  }

  private stateAfter({ id, bornAt }: EndpointRecord, failure: Failure | undefined): EngineState {
    if (failure === undefined) return EngineState.alive;
    const isGone =
      failure.kind === FailureKind.unreachable || this.recordOf(id, bornAt) === undefined;
    return isGone ? EngineState.ended : EngineState.unknown;
  }
}
