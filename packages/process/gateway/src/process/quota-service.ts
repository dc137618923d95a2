import type { Clock, Peers, Random, Telemetry } from '@currantdrift/core';
import {
  decisionTimeoutMs,
  QuotaRoles,
  type QuotaAnswer,
  type QuotaBounds,
  type QuotaDecision,
  type QuotaHandover,
  type QuotaIssuer,
  QuotaAccounts,
  type QuotaQuestion,
  type QuotaReturn,
  QuotaRole,
} from '@currantdrift/quota';
import type { Configuration } from '@currantdrift/routes';
import {
  parseMessage,
  PeerMessageKind,
  type QuotaRequestMessage,
  quotaResponseSchema,
  type QuotaReturnMessage,
} from '../connection/peer-messages';
import type { Member, Members } from '../version/members';
import { QuotaSuccession } from './quota-succession';

/** Bounds where the platform states none. */
const defaultBounds: QuotaBounds = { windowMs: 8_000, excess: 0.1, slack: 0 };

export interface QuotaServiceOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly peers: Peers;
  readonly self: Member;
  readonly members: Members;
  readonly bounds: QuotaBounds | undefined;
  readonly configuration: () => Configuration | undefined;
  /** Time since the list of the members was last certain to be current, in ms. */
  readonly membersAgeMs: (now: number) => number;
  /** Time since `since`, in ms, with times in which the process or its host did not run. */
  readonly ageMs: (since: number, now: number) => number;
  /** Time within which a change of the members reaches every member, in ms. */
  readonly changeBoundMs: number;
}

/** Grants tokens of customers' quotas at this process and obtains them from other members. */
export class QuotaService implements QuotaIssuer {
  private readonly ranks: QuotaRoles;

  private readonly owner: QuotaAccounts;

  private readonly succession: QuotaSuccession;

  private constructor(private readonly options: QuotaServiceOptions) {
    const { bounds = defaultBounds, changeBoundMs, clock, members, random, self } = options;
    this.ranks = QuotaRoles.create({ self: self.host, maxViewAgeMs: changeBoundMs });
    this.owner = QuotaAccounts.create(bounds, random);
    const { ranks, owner } = this;
    this.succession = QuotaSuccession.create({ ...options, ranks, owner });
    members.onMembersChange(() => {
      const now = clock.now();
      const hosts = members.all().map(({ host }) => host);
      this.observe(now);
      this.ranks.update(hosts, now);
    });
  }

  static create(options: QuotaServiceOptions): QuotaService {
    return new QuotaService(options);
  }

  /**
   * Records whether the list of the members is current, and takes over the roles of owners that this member
   * has come to precede; call this regularly.
   */
  tick(now: number): void {
    this.observe(now);
    const customers = this.options.configuration()?.customers?.all() ?? [];
    customers.forEach(({ name, quota }) => {
      if (quota === undefined) return;
      this.succession.takeOver(name, quota).catch((error: unknown) => {
        this.options.telemetry.log('task.error', { reason: String(error) });
      });
    });
  }

  /** Goes on in the roles of an earlier process on this host, whose registration this one replaced. */
  resume(now: number): void {
    this.ranks.resume(now);
  }

  async ask(
    customer: string,
    question: Omit<QuotaQuestion, 'member'>,
    rank: number,
  ): Promise<QuotaAnswer> {
    const { members, peers, self } = this.options;
    const member = members.all().find(({ host }) => host === this.ranks.order(customer)[rank]);
    if (member === undefined) return 'silent';
    const asked = { ...question, member: self.host };
    if (member.host === self.host) {
      const decision = await this.decide(customer, asked);
      return decision === undefined ? 'elsewhere' : { decision, issuer: member.address };
    }
    const message = { kind: PeerMessageKind.quota, customer, ...asked };
    const response = await peers.request(member.address, message, decisionTimeoutMs);
    const parsed = response.isOk() ? parseMessage(quotaResponseSchema, response.value) : undefined;
    if (parsed === undefined) return 'silent';
    return parsed.kind === 'elsewhere' ? 'elsewhere' : { decision: parsed, issuer: member.address };
  }

  giveBack(customer: string, returned: QuotaReturn, issuer: string): void {
    const { clock, peers, self } = this.options;
    if (issuer === self.address) this.owner.takeBack(customer, returned, clock.now());
    else peers.notify(issuer, { kind: PeerMessageKind.quotaReturn, customer, ...returned });
  }

  /** Answers another member's question; undefined if this one has no role for the customer. */
  async respond({
    customer,
    ...question
  }: QuotaRequestMessage): Promise<QuotaDecision | undefined> {
    return this.decide(customer, question);
  }

  /** Answers the member that has come to be first; undefined if this process is not the owner. */
  handOver(customer: string): (QuotaHandover & { readonly kind: 'handed-over' }) | undefined {
    this.observe(this.options.clock.now());
    const handover = this.succession.handOver(customer);
    return handover && { kind: 'handed-over', ...handover };
  }

  receiveReturn({ customer, ...returned }: QuotaReturnMessage): void {
    this.owner.takeBack(customer, returned, this.options.clock.now());
  }

  private observe(now: number): void {
    this.ranks.observe(this.options.membersAgeMs(now), now);
  }

  /** Decides by this process's configuration, which may be newer than that of the member that asks. */
  private async decide(
    customer: string,
    question: QuotaQuestion,
  ): Promise<QuotaDecision | undefined> {
    const { clock, configuration } = this.options;
    const quota = configuration()?.customers?.named(customer)?.quota;
    if (quota === undefined) return undefined;
    this.observe(clock.now());
    await this.succession.takeOver(customer, quota);
    const now = clock.now();
    this.observe(now);
    const role = this.ranks.role(customer, now);
    const decision = this.owner.lease(customer, quota, question, role, now);
    if (decision !== undefined) this.count(customer, question, decision);
    return decision;
  }

  private count(customer: string, { costs }: QuotaQuestion, decision: QuotaDecision): void {
    const { role, waitsMs, ahead } = decision;
    const tokens = costs.reduce((sum, cost, at) => sum + (waitsMs[at] === 0 ? cost : 0), ahead);
    const kind = role === QuotaRole.owner ? 'leased' : 'stand_in';
    this.options.telemetry.count('currantdrift_quota_tokens_total', { customer, kind }, tokens);
  }
}
