import type { Clock, Peers, Telemetry } from '@currantdrift/core';
import {
  decisionTimeoutMs,
  type QuotaRoles,
  rankMembers,
  type QuotaHandover,
  type QuotaAccounts,
} from '@currantdrift/quota';
import type { Quota } from '@currantdrift/routes';
import {
  parseMessage,
  PeerMessageKind,
  quotaHandoverResponseSchema,
} from '../connection/peer-messages';
import type { Member, Members } from '../version/members';

export interface QuotaSuccessionOptions {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly peers: Peers;
  readonly self: Member;
  readonly members: Members;
  readonly ranks: QuotaRoles;
  readonly owner: QuotaAccounts;
  /** Time since `since`, in ms, with times in which the process or its host did not run. */
  readonly ageMs: (since: number, now: number) => number;
}

/** Hands the role of a customer's owner over when members are added or leave, so that no quota is lost. */
export class QuotaSuccession {
  /** For each customer since when this member had been first when it asked the former owner. */
  private readonly asked = new Map<string, number>();

  private readonly asking = new Map<string, Promise<void>>();

  private constructor(private readonly options: QuotaSuccessionOptions) {}

  static create(options: QuotaSuccessionOptions): QuotaSuccession {
    return new QuotaSuccession(options);
  }

  /** Takes the role over if this member has come to be first; asks the former owner once. */
  async takeOver(customer: string, quota: Quota): Promise<void> {
    const { clock, ranks } = this.options;
    const since = ranks.waitingSince(customer, clock.now());
    if (since === undefined) return;
    if (this.asked.get(customer) !== since) {
      this.asked.set(customer, since);
      const asking = this.askFormerOwner(customer, quota, since);
      this.asking.set(customer, asking);
    }
    await this.asking.get(customer);
  }

  /** Ends this process's role as the owner; undefined if it does not have it. */
  handOver(customer: string): QuotaHandover | undefined {
    const { clock, owner, ranks } = this.options;
    const now = clock.now();
    return ranks.release(customer, now) ? owner.handOver(customer, now) : undefined;
  }

  private async askFormerOwner(customer: string, quota: Quota, since: number): Promise<void> {
    const { clock, telemetry, peers, ranks, owner, ageMs } = this.options;
    const askedAt = clock.now();
    const former = this.formerOwner(customer, askedAt);
    if (former === undefined) return;
    const message = { kind: PeerMessageKind.quotaHandover, customer };
    const response = await peers.request(former.address, message, decisionTimeoutMs);
    const now = clock.now();
    const parsed = response.isOk()
      ? parseMessage(quotaHandoverResponseSchema, response.value)
      : undefined;
    const isLate = ageMs(askedAt, now) > decisionTimeoutMs;
    const isHandedOver =
      parsed?.kind === 'handed-over' && !isLate && ranks.waitingSince(customer, now) === since;
    telemetry.log('quota.succession', {
      customer,
      peer: former.host,
      outcome: isHandedOver ? 'taken_over' : (parsed?.kind ?? 'silent'),
    });
    if (!isHandedOver) return;
    ranks.takeOver(customer, now);
    owner.takeOver(customer, quota, parsed, now);
  }

  /** The member that was first before: one that has left, or the one that is second now. */
  private formerOwner(customer: string, now: number): Member | undefined {
    const { members, self } = this.options;
    const others = members.recipients(self.host, now);
    const [first, second] = rankMembers(customer, [self.host, ...others.map(({ host }) => host)]);
    const former = first === self.host ? second : first;
    return others.find(({ host }) => host === former);
  }
}
