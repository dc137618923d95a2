import type { Clock } from '@currantdrift/core';
import type { EndpointDirectory, LimitReport } from '@currantdrift/fleet';
import type { EndpointLoad } from '@currantdrift/routing';
import { type InventoryMessage, PeerMessageKind } from '../connection/peer-messages';
import type { Member, Members } from '../version/members';
import type { Announcement } from './announcer';

/** Largest remote failure domain whose members the controller contacts directly, without a relay. */
const maxDirectMembers = 3;

export interface InventoryBroadcasterOptions {
  readonly clock: Clock;
  readonly self: Member;
  readonly members: Members;
  readonly directory: EndpointDirectory;
  /** Receives the number of requests in flight at each engine, summed over all members. */
  readonly onLoads: (loads: readonly EndpointLoad[]) => void;
  /** Receives the request limits that the controller announces. */
  readonly onLimits: (limits: readonly LimitReport[]) => void;
  /** Whether a member has recently sent a usage report to this process as the controller. */
  readonly hasReported: (host: string) => boolean;
  readonly send: (address: string, message: InventoryMessage) => void;
}

const groupByDomain = (members: readonly Member[]): Map<string, Member[]> => {
  const groups = new Map<string, Member[]>();
  members.forEach((member) =>
    groups.set(member.domain, [...(groups.get(member.domain) ?? []), member]),
  );
  return groups;
};

/**
 * Sends the controller's announcements about engines to all members, and applies those received. In a
 * large failure domain other than its own, the controller sends to one relay, which forwards them.
 */
export class InventoryBroadcaster {
  /** Highest fencing token of a controller seen so far. */
  private fence = 0;

  private sent = 0;

  /** Number of the newest announcement applied for each engine under the fencing token `fence`. */
  private readonly newestNumbers = new Map<string, number>();

  /** Number of the newest announcement of requests in flight under the fencing token `fence`. */
  private newestLoads = 0;

  private constructor(private readonly options: InventoryBroadcasterOptions) {}

  static create(options: InventoryBroadcasterOptions): InventoryBroadcaster {
    return new InventoryBroadcaster(options);
  }

  /** Begins this process's own term: from now on announcements of earlier controllers are ignored. */
  beginTerm(fence: number): void {
    this.raiseFence(fence);
  }

  /** Applies an announcement to the local directory and sends it to all members. */
  announce(fence: number, { inventories, loads, limits }: Announcement): void {
    const { clock, directory, members, onLoads, self } = this.options;
    this.raiseFence(fence);
    this.sent += 1;
    const message = {
      kind: PeerMessageKind.inventory,
      fence,
      number: this.sent,
      inventories: inventories as InventoryMessage['inventories'],
      loads: [...loads],
      limits: [...limits],
    };
    directory.applyInventories(inventories, clock.now());
    onLoads(loads);
    groupByDomain(members.recipients(self.host, clock.now())).forEach((group, domain) => {
      const isLarge = domain !== self.domain && group.length > maxDirectMembers;
      const relays = isLarge ? this.relaysOf(domain) : [];
      // A failure domain has no relays if all its members have lost their keys.
      const passOn = relays.length > 0;
      this.sendTo(passOn ? relays : group, { ...message, passOn });
    });
  }

  /** Applies an announcement that came from the controller or from a relay. */
  receive(message: InventoryMessage): void {
    const { clock, directory, members, self } = this.options;
    if (message.fence < this.fence) return;
    this.raiseFence(message.fence);
    const { number } = message;
    const current = message.inventories.filter(
      ({ endpoint }) => number >= (this.newestNumbers.get(endpoint) ?? 0),
    );
    current.forEach(({ endpoint }) => this.newestNumbers.set(endpoint, number));
    directory.applyInventories(current, clock.now());
    this.options.onLimits(message.limits);
    this.applyLoads(message.loads, number);
    if (!message.passOn) return;
    const all = members.recipients(self.host, clock.now());
    const domainMembers = all.filter(({ domain }) => domain === self.domain);
    this.sendTo(domainMembers, { ...message, passOn: false });
  }

  /** Applies the requests in flight unless newer ones have been applied. */
  private applyLoads(loads: readonly EndpointLoad[], number: number): void {
    if (loads.length === 0 || number < this.newestLoads) return;
    this.newestLoads = number;
    this.options.onLoads(loads);
  }

  /** The first relay that has recently reported; all relays if none has. */
  private relaysOf(domain: string): readonly Member[] {
    const { members, hasReported } = this.options;
    const relays = members.relaysOf(domain);
    const reachable = relays.find(({ host }) => hasReported(host));
    return reachable === undefined ? relays : [reachable];
  }

  private raiseFence(fence: number): void {
    if (fence <= this.fence) return;
    this.fence = fence;
    this.newestNumbers.clear();
    this.newestLoads = 0;
  }

  private sendTo(targets: readonly Member[], message: InventoryMessage): void {
    targets.forEach(({ address }) => this.options.send(address, message));
  }
}
