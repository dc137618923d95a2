import { setMaxListeners } from 'node:events';
import {
  type Clock,
  type Message,
  type Random,
  NoopTelemetry,
  type Telemetry,
} from '@currantdrift/core';
import { type Fact, FactPrefix, toWire } from './fact';
import { type Member, memberFact, memberKey, MemberStatus, readMember } from './member';
import { defaultMembershipSettings, type MembershipSettings } from './membership-settings';
import type { ProbingPeers } from './probing-peers';
import { Spread } from './spread';

/** What a daemon says of itself. */
export interface Self {
  /** Name of the host; unique in the domain. */
  readonly name: string;
  /** `ip:port` for peers. */
  readonly address: string;
  /** `ip:port` for operators. */
  readonly operatorAddress: string;
  readonly domain: string;
  /** Small value that membership does not read. */
  readonly state?: unknown;
}

export interface MembershipOptions {
  readonly self: Self;
  readonly peers: ProbingPeers;
  readonly clock: Clock;
  readonly random: Random;
  /** Addresses of daemons that may be members, from the host list and the settings. */
  readonly contacts: () => Promise<readonly string[]>;
  readonly telemetry?: Telemetry;
  readonly settings?: Partial<MembershipSettings>;
  /** For tests: suspects a member without trying a fresh connection to it. */
  readonly skipsFreshConnection?: boolean;
}

export type MemberListener = (member: Member, previous: Member | undefined) => void;

/** First part of the run in which unknown contacts are tried each period, in ms. */
const formingMs = 30_000;

/** Contacts asked before the loops start; a silent one takes 2 s. The loops ask the others. */
const maxJoinTries = 5;

/** A wait that ends this much too late means that this process was paused, in ms. */
const pauseMs = 1000;

/** A probe that ends this much too late says more of this process than of the target, in ms. */
const slowMs = 200;

/** Shortest time between two digest comparisons of a member with many pending updates, in ms. */
const behindRepairMs = 3000;

const isPresent = (member: Member): boolean =>
  member.status === MemberStatus.alive || member.status === MemberStatus.suspect;

/**
 * Membership of a failure domain by probes and gossip (SWIM, Das et al. 2002). The loops start
 * with `start` and end with `leave` or `stop`.
 */
export class Membership {
  /** Facts of the domain; endpoints and domain summaries spread with it. */
  readonly dissemination: Spread;

  private readonly known = new Map<string, Member>();

  private readonly listeners: MemberListener[] = [];

  private round: string[] = [];

  private own: Member;

  private stopped = new AbortController();

  private readonly settings: MembershipSettings;

  private readonly telemetry: Telemetry;

  private startedAt = 0;

  private repairedAt = 0;

  private constructor(private readonly options: MembershipOptions) {
    this.settings = { ...defaultMembershipSettings, ...options.settings };
    this.telemetry = options.telemetry ?? NoopTelemetry.create();
    this.own = {
      ...options.self,
      state: options.self.state ?? null,
      // In seconds, so that a restarted process outranks its predecessor in few bytes.
      incarnation: Math.max(1, Math.floor(options.clock.now() / 1000)),
      status: MemberStatus.alive,
    };
    this.dissemination = Spread.create({
      peers: options.peers,
      clock: options.clock,
      domain: options.self.domain,
      memberCount: () => this.members().length,
      admits: (fact) => this.admits(fact),
    });
    this.dissemination.table.subscribe(FactPrefix.member, (fact) => this.onMemberFact(fact));
    options.peers.onRequest('m.ping', (message, from) => this.onPing(message, from));
    options.peers.onRequest('m.probe', (message) => this.onProbe(message));
  }

  static create(options: MembershipOptions): Membership {
    return new Membership(options);
  }

  /** This daemon as the others see it. */
  get self(): Member {
    return this.own;
  }

  /** Members that are alive or suspected, this one included, ordered by name. */
  members(): readonly Member[] {
    return [...this.known.values()].filter(isPresent).sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /** Members that are alive, this one included, ordered by name. */
  alive(): readonly Member[] {
    return this.members().filter(({ status }) => status === MemberStatus.alive);
  }

  /** Everything known of a name, also of a member that is dead or has left. */
  member(name: string): Member | undefined {
    return this.known.get(name);
  }

  /** Calls `listener` after each change of a member. */
  onChange(listener: MemberListener): void {
    this.listeners.push(listener);
  }

  /** Sets the small value that goes with this member. */
  setState(state: unknown): void {
    this.announce({ ...this.own, state, incarnation: this.own.incarnation + 1 });
  }

  /** Joins and starts the loops. Resolves after the first contact answered, or none did. */
  async start(): Promise<void> {
    this.stopped = new AbortController();
    // All loops and every open suspicion wait on this signal.
    setMaxListeners(0, this.stopped.signal);
    this.startedAt = this.options.clock.now();
    const hasLeft = this.own.status === MemberStatus.left;
    const incarnation = this.own.incarnation + (hasLeft ? 1 : 0);
    this.announce({ ...this.own, incarnation, status: MemberStatus.alive });
    await this.join();
    [this.probeLoop(), this.repairLoop(), this.retryLoop()].forEach((loop) =>
      loop.catch((error: unknown) => {
        this.telemetry.log('membership loop failed', { message: String(error) });
      }),
    );
  }

  /** Tells all members that this one leaves, and stops. */
  async leave(): Promise<void> {
    this.announce({ ...this.own, status: MemberStatus.left });
    await this.broadcast([memberFact(this.own)]);
    this.stop();
  }

  /** Ends the loops without telling anyone. */
  stop(): void {
    this.stopped.abort();
  }

  /** Sends facts to every member at once; gossip covers those that do not confirm in 1.3 s. */
  async broadcast(facts: readonly Fact[]): Promise<void> {
    const others = this.members().filter(({ name }) => name !== this.own.name);
    await Promise.all(others.map(({ address }) => this.dissemination.deliver(address, facts)));
  }

  /** Takes a fact of this daemon and spreads it; with `atOnce` also by direct messages. */
  publish(fact: Fact, atOnce = false): boolean {
    const isNew = this.dissemination.publish(fact);
    if (isNew && atOnce) this.broadcast([fact]).catch(() => {});
    return isNew;
  }

  private announce(own: Member): void {
    this.own = own;
    this.dissemination.publish(memberFact(own));
  }

  /** Refutes what others say of this member, and keeps members of other domains out. */
  private admits(fact: Fact): boolean {
    if (!fact.key.startsWith(FactPrefix.member)) return true;
    const member = readMember(fact);
    if (member === undefined || member.domain !== this.own.domain) return false;
    if (member.name !== this.own.name) return true;
    if (this.own.status !== MemberStatus.left) {
      this.announce({ ...this.own, incarnation: member.incarnation + 1 });
      // Gossip takes several seconds to reach everyone; a suspicion is confirmed after 3 s.
      this.broadcast([memberFact(this.own)]).catch(() => {});
    }
    return false;
  }

  private onMemberFact(fact: Fact): void {
    const member = readMember(fact);
    if (member === undefined) return;
    const previous = this.known.get(member.name);
    this.known.set(member.name, member);
    if (member.status === MemberStatus.suspect) this.confirm(member).catch(() => {});
    if (member.status !== previous?.status) {
      this.telemetry.log('member', { peer: member.name, status: member.status });
      this.telemetry.count('membership_changes_total', { status: member.status });
    }
    this.listeners.forEach((listener) => listener(member, previous));
  }

  /** Task of one suspicion: declares the member dead unless it refutes in time. */
  private async confirm(suspect: Member): Promise<void> {
    const { clock } = this.options;
    let late: number;
    do {
      const end = clock.now() + this.settings.suspicionMs;
      await clock.sleep(this.settings.suspicionMs, this.stopped.signal);
      // After a pause of this process the refutation may still wait to be read.
      late = clock.now() - end;
    } while (late > pauseMs && !this.stopped.signal.aborted);
    const current = this.known.get(suspect.name);
    const isSame =
      current?.status === MemberStatus.suspect && current.incarnation === suspect.incarnation;
    if (!isSame || this.stopped.signal.aborted) return;
    this.dissemination.publish(memberFact({ ...current, status: MemberStatus.dead }));
  }

  private async join(): Promise<void> {
    const contacts = this.shuffle(await this.strangers()).slice(0, maxJoinTries);
    for (const contact of contacts) {
      const pulled = await this.dissemination.pull(contact, memberFact(this.own));
      if (pulled.isOk() && this.members().length > 1) return;
    }
  }

  /** Contacts that no present member has as its address. */
  private async strangers(): Promise<string[]> {
    const present = new Set(this.members().map(({ address }) => address));
    const contacts = await this.options.contacts().catch(() => []);
    return contacts.filter((address) => !present.has(address));
  }

  private async probeLoop(): Promise<void> {
    const { clock, random } = this.options;
    const { periodMs } = this.settings;
    const { signal } = this.stopped;
    await clock.sleep(random.next() * periodMs, signal);
    while (!signal.aborted) {
      const startedAt = clock.now();
      const target = this.nextTarget();
      if (target !== undefined) await this.probe(target);
      if (this.dissemination.isBehind && startedAt - this.repairedAt >= behindRepairMs) {
        await this.repairWithAny();
      }
      await clock.sleep(Math.max(0, startedAt + periodMs - clock.now()), signal);
    }
  }

  /** Members in a shuffled round, so that each is probed within two rounds. */
  private nextTarget(): Member | undefined {
    for (;;) {
      if (this.round.length === 0) {
        this.round = this.shuffle(this.others().map(({ name }) => name));
        if (this.round.length === 0) return undefined;
      }
      const member = this.known.get(this.round.pop() ?? '');
      if (member !== undefined && isPresent(member)) return member;
    }
  }

  private others(): Member[] {
    return this.members().filter(({ name }) => name !== this.own.name);
  }

  private shuffle<T>(values: readonly T[]): T[] {
    return values
      .map((value) => ({ value, place: this.options.random.next() }))
      .sort((a, b) => a.place - b.place)
      .map(({ value }) => value);
  }

  private async probe(target: Member): Promise<void> {
    const { clock } = this.options;
    const { ackTimeoutMs, periodMs } = this.settings;
    const startedAt = clock.now();
    if (await this.ping(target.address, target.name, ackTimeoutMs)) return;
    const left = Math.max(ackTimeoutMs, startedAt + periodMs - clock.now());
    const answers = await Promise.all([
      this.tryFresh(target, left),
      ...this.helpers(target).map((helper) => this.askToProbe(helper, target, left)),
    ]);
    const wasSlow = clock.now() - startedAt > periodMs + slowMs;
    if (answers.includes(true) || wasSlow || this.stopped.signal.aborted) return;
    const current = this.known.get(target.name);
    if (current?.status !== MemberStatus.alive || current.incarnation !== target.incarnation)
      return;
    this.dissemination.publish(memberFact({ ...current, status: MemberStatus.suspect }));
  }

  private async ping(address: string, name: string, timeoutMs: number): Promise<boolean> {
    const { peers } = this.options;
    const answer = await peers.request(address, this.pingMessage(), timeoutMs);
    if (answer.isErr()) return false;
    this.dissemination.receive(answer.value.u, address);
    if (answer.value.w === true) {
      peers.notify(address, { kind: 'm.update', u: [toWire(memberFact(this.own))] });
    }
    // Another daemon may have taken over the address of a dead one.
    return answer.value.n === name;
  }

  private pingMessage(): Message {
    return {
      kind: 'm.ping',
      n: this.own.name,
      i: this.own.incarnation,
      u: this.dissemination.updates(),
    };
  }

  private async tryFresh(target: Member, timeoutMs: number): Promise<boolean> {
    if (this.options.skipsFreshConnection === true) return false;
    const { clock, peers } = this.options;
    const deadline = clock.now() + timeoutMs;
    const connected = await peers.reconnect(target.address, timeoutMs);
    if (connected.isErr()) return false;
    const left = Math.max(this.settings.ackTimeoutMs, deadline - clock.now());
    return this.ping(target.address, target.name, left);
  }

  private helpers(target: Member): Member[] {
    const candidates = this.others().filter(
      ({ name, status }) => name !== target.name && status === MemberStatus.alive,
    );
    return this.shuffle(candidates).slice(0, this.settings.indirectProbes);
  }

  private async askToProbe(helper: Member, target: Member, timeoutMs: number): Promise<boolean> {
    const message = { kind: 'm.probe', a: target.address, n: target.name };
    const answer = await this.options.peers.request(helper.address, message, timeoutMs);
    return answer.isOk() && answer.value.y === true;
  }

  private async onProbe(message: Message): Promise<Message> {
    const { a: address, n: name } = message;
    if (typeof address !== 'string' || typeof name !== 'string') return { kind: 'm.ack', y: false };
    const answered = await this.ping(address, name, this.settings.ackTimeoutMs);
    return { kind: 'm.ack', y: answered };
  }

  private onPing(message: Message, from: string): Message {
    this.dissemination.receive(message.u, from);
    const name = typeof message.n === 'string' ? message.n : '';
    const sender = this.known.get(name);
    const isCurrent = sender !== undefined && sender.incarnation >= Number(message.i);
    const updates = this.dissemination.updates();
    // A sender that is thought to be gone must hear it, or it could not refute.
    const isRefutable = sender !== undefined && sender.status !== MemberStatus.alive;
    const u = isRefutable ? [toWire(memberFact(sender)), ...updates] : updates;
    const ack = { kind: 'm.ack', n: this.own.name, i: this.own.incarnation, u };
    return isCurrent ? ack : { ...ack, w: true };
  }

  private async repairLoop(): Promise<void> {
    const { clock, random } = this.options;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      await clock.sleep(this.settings.repairMs * (0.75 + random.next() / 2), signal);
      if (signal.aborted) return;
      await this.repairWithAny();
      this.forgetGone(clock.now());
    }
  }

  private async repairWithAny(): Promise<void> {
    this.repairedAt = this.options.clock.now();
    const [partner] = this.shuffle(this.others());
    if (partner !== undefined) await this.dissemination.repair(partner.address);
  }

  /** Tries dead members and unknown contacts, so that a healed partition merges. */
  private async retryLoop(): Promise<void> {
    const { clock, random } = this.options;
    const { periodMs, retryMs } = this.settings;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const isForming = clock.now() - this.startedAt < formingMs;
      await clock.sleep((isForming ? periodMs : retryMs) * (0.75 + random.next() / 2), signal);
      if (signal.aborted) return;
      const dead = [...this.known.values()].filter(({ status }) => status === MemberStatus.dead);
      const addresses = new Set([
        ...(await this.strangers()),
        ...dead.map(({ address }) => address),
      ]);
      addresses.delete(this.own.address);
      const [address] = this.shuffle([...addresses]);
      if (address !== undefined) await this.dissemination.repair(address);
    }
  }

  private forgetGone(now: number): void {
    this.dissemination.forgetBefore(now - this.settings.forgetMs);
    this.known.forEach((member, name) => {
      if (this.dissemination.table.get(memberKey(member.name)) === undefined)
        this.known.delete(name);
    });
  }
}
