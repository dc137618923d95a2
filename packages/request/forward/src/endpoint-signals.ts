import type { Clock, Telemetry } from '@currantdrift/core';
import type { EndpointDirectory, EndpointRecord, LimitObserver } from '@currantdrift/fleet';
import type { Head } from '@currantdrift/http';
import type { EndpointProtocol } from './endpoint-protocol';

export interface EndpointSignalsOptions {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly protocol: EndpointProtocol;
  readonly directory: EndpointDirectory;
  readonly limits: LimitObserver;
  /** Called when an endpoint first announces that it is shutting down. */
  readonly onLeaving: (record: EndpointRecord) => void;
}

/** Applies the state that endpoints report in the headers of their responses: shutdown, pauses and limits. */
export class EndpointSignals {
  private constructor(private readonly options: EndpointSignalsOptions) {}

  static create(options: EndpointSignalsOptions): EndpointSignals {
    return new EndpointSignals(options);
  }

  /**
   * Processes the head of any response from the endpoint, to a forwarded request or a control call that
   * was sent at `sentAt`.
   */
  observe(record: EndpointRecord, head: Head, sentAt: number): void {
    const { protocol } = this.options;
    // Another endpoint may have taken over the address.
    if ((protocol.respondingEndpoint(head) ?? record.id) !== record.id) return;
    const stated = protocol.statedLimit(head);
    // Another endpoint may answer like this; that it states no limit says nothing of this one.
    const isOther = protocol.isMisdirected(head) && stated.kind === 'none';
    if (!isOther) this.options.limits.observe(record, stated, sentAt);
    if (protocol.isLeaving(head)) this.leaving(record);
    const pauseMs = protocol.pauseMs(head);
    if (pauseMs !== undefined) this.recordPause(record, pauseMs);
  }

  private leaving(record: EndpointRecord): void {
    const { directory, telemetry, onLeaving } = this.options;
    if (!directory.markLeaving(record.id, record.bornAt)) return;
    telemetry.log('endpoint.leaving', { endpoint: record.id, source: 'answer' });
    onLeaving(record);
  }

  private recordPause({ id, bornAt }: EndpointRecord, pauseMs: number): void {
    const { clock, directory, telemetry } = this.options;
    directory.pause(id, bornAt, clock.now() + pauseMs);
    telemetry.log('endpoint.paused', { endpoint: id, pauseMs: Math.round(pauseMs) });
  }
}
