import type { Clock, Message } from '@currantdrift/core';
import type { Member, Members } from './members';

export interface DomainNoticesOptions {
  readonly clock: Clock;
  readonly self: Member;
  readonly members: Members;
  readonly send: (address: string, message: Message) => void;
}

/** A message to all members; `passOn` if the receiver forwards it in its failure domain. */
export interface Notice extends Message {
  readonly passOn: boolean;
}

/**
 * Sends notices to all members: the sender notifies the relays, and each relay forwards the notice in its
 * failure domain.
 */
export class DomainNotices {
  private constructor(private readonly options: DomainNoticesOptions) {}

  static create(options: DomainNoticesOptions): DomainNotices {
    return new DomainNotices(options);
  }

  publish(message: Message): void {
    this.sendTo(this.options.members.relays, { ...message, passOn: true });
    // A relay does not get its own notice, so it forwards it here.
    if (this.isRelay()) this.sendToDomain(message);
  }

  /** Forwards a received notice if its sender asks for it. */
  passOn(notice: Notice): void {
    if (notice.passOn) this.sendToDomain(notice);
  }

  private isRelay(): boolean {
    const { members, self } = this.options;
    return members.relaysOf(self.domain).some(({ host }) => host === self.host);
  }

  private sendToDomain(message: Message): void {
    const { clock, members, self } = this.options;
    const all = members.recipients(self.host, clock.now());
    this.sendTo(
      all.filter(({ domain }) => domain === self.domain),
      { ...message, passOn: false },
    );
  }

  private sendTo(targets: readonly Member[], message: Notice): void {
    const { self, send } = this.options;
    targets
      .filter(({ host }) => host !== self.host)
      .forEach(({ address }) => send(address, message));
  }
}
