import type { Clock, Telemetry } from '@currantdrift/core';
import type { EndpointDirectory, EndpointRecord } from '@currantdrift/fleet';
import { type LeavingMessage, PeerMessageKind } from '../connection/peer-messages';
import type { Member, Members } from '../version/members';

export interface LeavingNoticesOptions {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly self: Member;
  readonly members: Members;
  readonly directory: EndpointDirectory;
  readonly send: (address: string, message: LeavingMessage) => void;
}

/**
 * Tells all members that an endpoint is leaving once the endpoint has announced it to one of them. That
 * member notifies the relays, and each relay forwards the notice in its failure domain.
 */
export class LeavingNotices {
  private constructor(private readonly options: LeavingNoticesOptions) {}

  static create(options: LeavingNoticesOptions): LeavingNotices {
    return new LeavingNotices(options);
  }

  /** Notifies the relays that an endpoint has announced to this process that it is leaving. */
  publish({ id, bornAt }: EndpointRecord): void {
    const { members } = this.options;
    this.sendTo(members.relays, {
      kind: PeerMessageKind.leaving,
      endpoint: id,
      bornAt,
      passOn: true,
    });
  }

  /** Applies a notice from another member and forwards it if required. */
  receive(message: LeavingMessage, from: string): void {
    const { clock, directory, members, self, telemetry } = this.options;
    const { endpoint, bornAt } = message;
    if (!directory.markLeaving(endpoint, bornAt)) return;
    telemetry.log('endpoint.leaving', { endpoint, source: from });
    if (!message.passOn) return;
    const all = members.recipients(self.host, clock.now());
    const domainMembers = all.filter(({ domain }) => domain === self.domain);
    this.sendTo(domainMembers, { ...message, passOn: false });
  }

  private sendTo(targets: readonly Member[], message: LeavingMessage): void {
    const { self, send } = this.options;
    targets
      .filter(({ host }) => host !== self.host)
      .forEach(({ address }) => send(address, message));
  }
}
