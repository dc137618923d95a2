import type { Clock, Telemetry } from '@currantdrift/core';
import type { EndpointDirectory, EndpointRecord } from '@currantdrift/fleet';
import type { Head } from '@currantdrift/http';
import type { EndpointProtocol } from './endpoint-protocol';

export interface EndpointSignsOptions {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly protocol: EndpointProtocol;
  readonly directory: EndpointDirectory;
  /** Called when an endpoint first says that it leaves. */
  readonly onLeaving: (record: EndpointRecord) => void;
}

/** What endpoints say of themselves in the heads of all their answers. */
export class EndpointSignals {
  private constructor(private readonly options: EndpointSignsOptions) {}

  static create(options: EndpointSignsOptions): EndpointSignals {
    return new EndpointSignals(options);
  }

  /** Takes the head of an answer to whatever was sent to the endpoint. */
  observe(record: EndpointRecord, head: Head): void {
    const { protocol } = this.options;
    // Another endpoint may have taken over the address.
    if ((protocol.respondingEndpoint(head) ?? record.id) !== record.id) return;
    if (protocol.isLeaving(head)) this.leaving(record);
    const pauseMs = protocol.pauseMs(head);
    if (pauseMs !== undefined) this.paused(record, pauseMs);
  }

  private leaving(record: EndpointRecord): void {
    const { directory, telemetry, onLeaving } = this.options;
    if (!directory.markLeaving(record.id, record.bornAt)) return;
    telemetry.log('endpoint.leaving', { endpoint: record.id, source: 'answer' });
    onLeaving(record);
  }

  private paused({ id, bornAt }: EndpointRecord, pauseMs: number): void {
    const { clock, directory, telemetry } = this.options;
    directory.pause(id, bornAt, clock.now() + pauseMs);
    telemetry.log('endpoint.paused', { endpoint: id, pauseMs: Math.round(pauseMs) });
  }
}
