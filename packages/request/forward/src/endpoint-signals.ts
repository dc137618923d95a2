import type { Clock, StatedLimit, Telemetry } from '@currantdrift/core';
import type { EndpointDirectory, EndpointRecord, LimitReport } from '@currantdrift/fleet';
import type { Head } from '@currantdrift/http';
import type { EndpointProtocol } from './endpoint-protocol';

export interface EndpointSignalsOptions {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly protocol: EndpointProtocol;
  readonly directory: EndpointDirectory;
  /** Called when an endpoint first announces that it is shutting down. */
  readonly onLeaving: (record: EndpointRecord) => void;
}

/** Maximum number of endpoints with an unreadable limit that are remembered. */
const maxMalformed = 1_000;

/** Maximum length of an unreadable limit in the log, in characters. */
const maxLoggedText = 100;

/** Applies the state that endpoints report in the headers of their responses: shutdown, pauses and limits. */
export class EndpointSignals {
  /** Start time by id of the endpoints whose limit could not be read. */
  private readonly malformed = new Map<string, number>();

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
    // Only another endpoint, or one that lacks the model, answers like this; it may be either.
    if (!protocol.isMisdirected(head)) this.applyLimit(record, protocol.statedLimit(head), sentAt);
    if (protocol.isLeaving(head)) this.leaving(record);
    const pauseMs = protocol.pauseMs(head);
    if (pauseMs !== undefined) this.recordPause(record, pauseMs);
  }

  /** Applies limits that another member reported; `source` is its host or address. */
  applyReports(reports: readonly LimitReport[], source: string): void {
    const { clock, directory, telemetry } = this.options;
    directory.limits.merge(reports, clock.now()).forEach(({ endpoint, ratePerS }) => {
      telemetry.log('endpoint.limit', { endpoint, ratePerS: ratePerS ?? undefined, source });
    });
  }

  private leaving(record: EndpointRecord): void {
    const { directory, telemetry, onLeaving } = this.options;
    if (!directory.markLeaving(record.id, record.bornAt)) return;
    telemetry.log('endpoint.leaving', { endpoint: record.id, source: 'answer' });
    onLeaving(record);
  }

  private applyLimit(record: EndpointRecord, stated: StatedLimit, sentAt: number): void {
    const { clock, directory, telemetry } = this.options;
    const { id: endpoint } = record;
    if (stated.kind === 'malformed') {
      this.reportMalformed(record, stated.text);
      return;
    }
    const ratePerS = stated.kind === 'limit' ? stated.ratePerS : undefined;
    if (!directory.limits.observe(record, ratePerS, sentAt, clock.now())) return;
    telemetry.log('endpoint.limit', { endpoint, ratePerS, source: 'answer' });
  }

  /** Counts each limit that cannot be read, and logs the first one of each instance. */
  private reportMalformed({ id, bornAt }: EndpointRecord, text: string): void {
    const { telemetry } = this.options;
    telemetry.count('currantdrift_malformed_limits_total');
    if (this.malformed.get(id) === bornAt) return;
    this.malformed.set(id, bornAt);
    if (this.malformed.size > maxMalformed) this.malformed.delete([...this.malformed.keys()][0]);
    telemetry.log('endpoint.limit.malformed', { endpoint: id, text: text.slice(0, maxLoggedText) });
  }

  private recordPause({ id, bornAt }: EndpointRecord, pauseMs: number): void {
    const { clock, directory, telemetry } = this.options;
    directory.pause(id, bornAt, clock.now() + pauseMs);
    telemetry.log('endpoint.paused', { endpoint: id, pauseMs: Math.round(pauseMs) });
  }
}
