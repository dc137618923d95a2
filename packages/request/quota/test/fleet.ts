import { SeededRandom } from '@currantdrift/core';
import { VirtualClock } from '@currantdrift/fakes';
import { type Quota, QuotaUnit } from '@currantdrift/routes';
import {
  decisionTimeoutMs,
  QuotaRoles,
  rankMembers,
  type QuotaAnswer,
  type QuotaBounds,
  QuotaLeases,
  QuotaAccounts,
  type QuotaQuestion,
  type QuotaReturn,
} from '../src';

export const bounds: QuotaBounds = { windowMs: 8_000, excess: 0.1, slack: 11_000 };

/** Age of the list of the members up to which it counts as current, in ms. */
export const maxViewAgeMs = 2_500;

/** One-way latency between members, in ms. */
const latencyMs = 3;

/** A member whose questions go to the owners of other members directly. */
export class FleetMember {
  readonly leases: QuotaLeases;

  readonly ranks: QuotaRoles;

  readonly owner: QuotaAccounts;

  /** Time at which it lost the store; undefined while it is in touch. */
  cutOffAt: number | undefined;

  isFrozen = false;

  private constructor(
    private readonly fleet: Fleet,
    readonly host: string,
  ) {
    const { clock } = fleet;
    this.ranks = QuotaRoles.create({ self: host, maxViewAgeMs });
    this.owner = QuotaAccounts.create(bounds, SeededRandom.create(fleet.members.size + 1));
    this.leases = QuotaLeases.create({
      clock,
      ageMs: (since, now) => now - since,
      issuer: {
        ask: (customer, question, rank) => this.ask(customer, { ...question, member: host }, rank),
        giveBack: (customer, returned, issuer) => this.giveBack(customer, returned, issuer),
      },
    });
  }

  static create(fleet: Fleet, host: string): FleetMember {
    return new FleetMember(fleet, host);
  }

  observe(): void {
    const now = this.fleet.clock.now();
    this.ranks.observe(this.cutOffAt === undefined ? 0 : now - this.cutOffAt, now);
  }

  decide(customer: string, question: QuotaQuestion): QuotaAnswer {
    this.observe();
    const now = this.fleet.clock.now();
    const quota = this.fleet.quotas.get(customer) as Quota;
    this.succeed(customer, quota, now);
    const decision = this.owner.lease(
      customer,
      quota,
      question,
      this.ranks.role(customer, now),
      now,
    );
    return decision === undefined ? 'elsewhere' : { decision, issuer: this.host };
  }

  /** Takes the role of the owner over from a member that is running, whether or not it is registered. */
  succeed(customer: string, quota: Quota, now: number): void {
    if (this.ranks.waitingSince(customer, now) === undefined) return;
    const { members } = this.fleet;
    const former = rankMembers(customer, [...members.keys()]).find((host) => host !== this.host);
    const other = members.get(former ?? '');
    if (other === undefined || other.isFrozen || !this.fleet.isLinked(this, other)) return;
    other.observe();
    if (!other.ranks.release(customer, now)) return;
    this.ranks.takeOver(customer, now);
    this.owner.takeOver(customer, quota, other.owner.handOver(customer, now), now);
  }

  private async ask(customer: string, question: QuotaQuestion, rank: number): Promise<QuotaAnswer> {
    const { clock, members } = this.fleet;
    const other = members.get(this.ranks.order(customer)[rank] ?? '');
    if (other === this) return this.decide(customer, question);
    if (other === undefined || other.isFrozen || !this.fleet.isLinked(this, other)) {
      await clock.sleep(decisionTimeoutMs);
      return 'silent';
    }
    await clock.sleep(latencyMs);
    const answer = other.decide(customer, question);
    await clock.sleep(latencyMs);
    return answer;
  }

  private giveBack(customer: string, returned: QuotaReturn, issuer: string): void {
    this.fleet.members.get(issuer)?.owner.takeBack(customer, returned, this.fleet.clock.now());
  }
}

/** Members that share quotas without a network. */
export class Fleet {
  readonly clock = VirtualClock.create();

  readonly members = new Map<string, FleetMember>();

  /** Hosts that cannot reach the others, nor the store. */
  readonly apart = new Set<string>();

  private constructor(readonly quotas: Map<string, Quota>) {}

  /** A fleet whose owners have begun to grant. */
  static async create(size: number, quotas: Map<string, Quota>): Promise<Fleet> {
    const fleet = new Fleet(quotas);
    for (let index = 0; index < size; index += 1) fleet.put(`h${index}`);
    fleet.publish();
    await fleet.clock.advance(20_000);
    return fleet;
  }

  put(host: string): void {
    this.members.set(host, FleetMember.create(this, host));
  }

  isLinked(one: FleetMember, other: FleetMember): boolean {
    return this.apart.has(one.host) === this.apart.has(other.host);
  }

  /** The member that is first for a customer. */
  ownerOf(customer: string): FleetMember {
    const [any] = this.members.values();
    return this.members.get(any.ranks.order(customer)[0]) as FleetMember;
  }

  /** Removes or adds members in the store; those that are cut off from it do not learn of it. */
  publish(registered: readonly string[] = [...this.members.keys()]): void {
    const now = this.clock.now();
    this.members.forEach((member) => {
      if (member.cutOffAt !== undefined) return;
      member.ranks.update(registered, now);
      member.observe();
    });
    this.members.forEach((member) =>
      this.quotas.forEach((quota, customer) => member.succeed(customer, quota, now)),
    );
  }

  /** Cuts hosts off from the store and the others; the store drops them when their keys expire. */
  cutOff(hosts: readonly string[]): void {
    const now = this.clock.now();
    hosts.forEach((host) => {
      this.apart.add(host);
      (this.members.get(host) as FleetMember).cutOffAt = now;
    });
  }
}

export const tokenQuota = (ratePerS: number, burst = ratePerS): Quota => ({
  unit: QuotaUnit.tokens,
  ratePerS,
  burst,
  plainCost: 300,
});
