import type { Telemetry } from '@currantdrift/core';
import type { EndpointDirectory, EndpointRecord } from '@currantdrift/fleet';
import { type LeavingMessage, PeerMessageKind } from '../connection/peer-messages';
import type { DomainNotices } from '../version/domain-notices';

export interface LeavingNoticesOptions {
  readonly telemetry: Telemetry;
  readonly directory: EndpointDirectory;
  readonly notices: DomainNotices;
}

/** Tells all members that an endpoint is leaving once the endpoint has announced it to one of them. */
export class LeavingNotices {
  private constructor(private readonly options: LeavingNoticesOptions) {}

  static create(options: LeavingNoticesOptions): LeavingNotices {
    return new LeavingNotices(options);
  }

  /** Notifies the members that an endpoint has announced to this process that it is leaving. */
  publish({ id, bornAt }: EndpointRecord): void {
    this.options.notices.publish({ kind: PeerMessageKind.leaving, endpoint: id, bornAt });
  }

  /** Applies a notice from another member and forwards it if required. */
  receive(message: LeavingMessage, from: string): void {
    const { directory, notices, telemetry } = this.options;
    const { endpoint, bornAt } = message;
    if (!directory.markLeaving(endpoint, bornAt)) return;
    telemetry.log('endpoint.leaving', { endpoint, source: from });
    notices.passOn(message);
  }
}
