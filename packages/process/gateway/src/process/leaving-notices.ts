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
 * Tells all members what an endpoint told one of them: that it leaves. The relays hear it from the
 * process that noticed it, the other members from the relays of their failure domain.
 */
export class LeavingNotices {
  private constructor(private readonly options: LeavingNoticesOptions) {}

  static create(options: LeavingNoticesOptions): LeavingNotices {
    return new LeavingNotices(options);
  }

  /** Takes what an endpoint has told this process. */
  publish({ id, bornAt }: EndpointRecord): void {
    const { members } = this.options;
    this.sendTo(members.relays, {
      kind: PeerMessageKind.leaving,
      endpoint: id,
      bornAt,
      passOn: true,
    });
  }

  /** Takes the notice of another member. */
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
