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
import type { ReconnectablePeers } from './reconnectable-peers';
import { Dissemination } from './dissemination';

/** The local daemon's own description. */
export interface Self {
  /** Host name, unique in the domain. */
  readonly name: string;
  /** Peer address, `ip:port`. */
  readonly address: string;
  /** Operator address, `ip:port`. */
  readonly operatorAddress: string;
  readonly domain: string;
  /** Small application-defined value; membership does not interpret it. */
  readonly state?: unknown;
}

export interface MembershipOptions {
  readonly self: Self;
  readonly peers: ReconnectablePeers;
  readonly clock: Clock;
  readonly random: Random;
  /** Addresses of possible members, from the host list and the settings. */
  readonly contacts: () => Promise<readonly string[]>;
  readonly telemetry?: Telemetry;
  readonly settings?: Partial<MembershipSettings>;
  /** Test option: suspects a member without trying a new connection first. */
  readonly skipsFreshConnection?: boolean;
}

export type MemberListener = (member: Member, previous: Member | undefined) => void;

/** Time after the start in which unknown contacts are tried at every probe interval, in ms. */
const joinPhaseMs = 30_000;

/** Contacts tried before the loops start; one that times out takes 2 s. Loops try the others. */
const maxJoinAttempts = 5;

/** Delay of a timer beyond which this process is assumed to have been paused, in ms. */
const pauseThresholdMs = 1000;

/** Overrun beyond which a failed probe is blamed on this process, not on the target, in ms. */
const slowProbeMs = 200;

/** Minimum time between digest comparisons of a member with many pending updates, in ms. */
const backlogRepairMs = 3000;

const isPresent = (member: Member): boolean =>
  member.status === MemberStatus.alive || member.status === MemberStatus.suspect;

/**
 * Membership of a failure domain by probing and gossip (SWIM, Das et al. 2002). The background
 * loops run from `start` until `leave` or `stop`.
 */
export class Membership {
  /** Replicates facts in the domain, including endpoints and domain summaries. */
  readonly dissemination: Dissemination;

  private readonly membersByName = new Map<string, Member>();

  private readonly listeners: MemberListener[] = [];

  private probeQueue: string[] = [];

  private own: Member;

  private stopped = new AbortController();

  private readonly settings: MembershipSettings;

  private readonly telemetry: Telemetry;

  private startedAt = 0;

  private lastRepairAt = 0;

  private constructor(private readonly options: MembershipOptions) {
    this.settings = { ...defaultMembershipSettings, ...options.settings };
    this.telemetry = options.telemetry ?? NoopTelemetry.create();
    this.own = {
      ...options.self,
      state: options.self.state ?? null,
      // Start time in seconds: higher after a restart, and encoded in few bytes.
      incarnation: Math.max(1, Math.floor(options.clock.now() / 1000)),
      status: MemberStatus.alive,
    };
    this.dissemination = Dissemination.create({
      peers: options.peers,
      clock: options.clock,
      domain: options.self.domain,
      memberCount: () => this.members().length,
      accepts: (fact) => this.accepts(fact),
    });
    this.dissemination.table.subscribe(FactPrefix.member, (fact) => this.onMemberFact(fact));
    options.peers.onRequest('m.ping', (message, from) => this.onPing(message, from));
    options.peers.onRequest('m.probe', (message) => this.onProbe(message));
  }

  static create(options: MembershipOptions): Membership {
    return new Membership(options);
  }

  /** The local member as it is published to the others. */
  get self(): Member {
    return this.own;
  }

  /** Members that are alive or suspect, including the local one, ordered by name. */
  members(): readonly Member[] {
    return [...this.membersByName.values()]
      .filter(isPresent)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /** Members that are alive, including the local one, ordered by name. */
  alive(): readonly Member[] {
    return this.members().filter(({ status }) => status === MemberStatus.alive);
  }

  /** Returns a known member by name, even if it is dead or has left. */
  member(name: string): Member | undefined {
    return this.membersByName.get(name);
  }

  /** Calls `listener` after each change of a member. */
  onChange(listener: MemberListener): void {
    this.listeners.push(listener);
  }

  /** Sets the application-defined state of the local member. */
  setState(state: unknown): void {
    this.announce({ ...this.own, state, incarnation: this.own.incarnation + 1 });
  }

  /** Joins the domain and starts the loops. Resolves after a contact answered or all failed. */
  async start(): Promise<void> {
    this.stopped = new AbortController();
    // All loops and all pending suspicions listen to this signal.
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

  /** Announces to all members that this one leaves, and stops. */
  async leave(): Promise<void> {
    this.announce({ ...this.own, status: MemberStatus.left });
    await this.broadcast([memberFact(this.own)]);
    this.stop();
  }

  /** Stops the loops without an announcement. */
  stop(): void {
    this.stopped.abort();
  }

  /** Sends facts directly to every member; gossip covers those that don't confirm in 1.3 s. */
  async broadcast(facts: readonly Fact[]): Promise<void> {
    const others = this.members().filter(({ name }) => name !== this.own.name);
    await Promise.all(others.map(({ address }) => this.dissemination.deliver(address, facts)));
  }

  /** Publishes a fact by gossip; with `immediate` also by a broadcast. */
  publish(fact: Fact, immediate = false): boolean {
    const isNew = this.dissemination.publish(fact);
    if (isNew && immediate) this.broadcast([fact]).catch(() => {});
    return isNew;
  }

  private announce(own: Member): void {
    this.own = own;
    this.dissemination.publish(memberFact(own));
  }

  /** Refutes facts of others about the local member and rejects members of other domains. */
  private accepts(fact: Fact): boolean {
    if (!fact.key.startsWith(FactPrefix.member)) return true;
    const member = readMember(fact);
    if (member === undefined || member.domain !== this.own.domain) return false;
    if (member.name !== this.own.name) return true;
    if (this.own.status !== MemberStatus.left) {
      this.announce({ ...this.own, incarnation: member.incarnation + 1 });
      // Gossip takes several seconds to reach all members, but a suspicion expires after 3 s.
      this.broadcast([memberFact(this.own)]).catch(() => {});
    }
    return false;
  }

  private onMemberFact(fact: Fact): void {
    const member = readMember(fact);
    if (member === undefined) return;
    const previous = this.membersByName.get(member.name);
    this.membersByName.set(member.name, member);
    if (member.status === MemberStatus.suspect) this.expireSuspicion(member).catch(() => {});
    if (member.status !== previous?.status) {
      this.telemetry.log('member', { peer: member.name, status: member.status });
      this.telemetry.count('membership_changes_total', { status: member.status });
    }
    this.listeners.forEach((listener) => listener(member, previous));
  }

  /** Declares a suspect dead unless it refutes the suspicion in time. */
  private async expireSuspicion(suspect: Member): Promise<void> {
    const { clock } = this.options;
    let overrunMs: number;
    do {
      const end = clock.now() + this.settings.suspicionTimeoutMs;
      await clock.sleep(this.settings.suspicionTimeoutMs, this.stopped.signal);
      // After a pause of this process, a refutation may have arrived but not been read yet.
      overrunMs = clock.now() - end;
    } while (overrunMs > pauseThresholdMs && !this.stopped.signal.aborted);
    const current = this.membersByName.get(suspect.name);
    const isSame =
      current?.status === MemberStatus.suspect && current.incarnation === suspect.incarnation;
    if (!isSame || this.stopped.signal.aborted) return;
    this.dissemination.publish(memberFact({ ...current, status: MemberStatus.dead }));
  }

  private async join(): Promise<void> {
    const contacts = this.shuffle(await this.unknownContacts()).slice(0, maxJoinAttempts);
    for (const contact of contacts) {
      const pulled = await this.dissemination.pull(contact, memberFact(this.own));
      if (pulled.isOk() && this.members().length > 1) return;
    }
  }

  /** Contacts whose address is not that of a present member. */
  private async unknownContacts(): Promise<string[]> {
    const present = new Set(this.members().map(({ address }) => address));
    const contacts = await this.options.contacts().catch(() => []);
    return contacts.filter((address) => !present.has(address));
  }

  private async probeLoop(): Promise<void> {
    const { clock, random } = this.options;
    const { probeIntervalMs } = this.settings;
    const { signal } = this.stopped;
    await clock.sleep(random.next() * probeIntervalMs, signal);
    while (!signal.aborted) {
      const startedAt = clock.now();
      const target = this.nextTarget();
      if (target !== undefined) await this.probe(target);
      if (this.dissemination.hasBacklog && startedAt - this.lastRepairAt >= backlogRepairMs) {
        await this.repairWithRandomMember();
      }
      await clock.sleep(Math.max(0, startedAt + probeIntervalMs - clock.now()), signal);
    }
  }

  /** Iterates over members in shuffled rounds, so that each is probed within two rounds. */
  private nextTarget(): Member | undefined {
    for (;;) {
      if (this.probeQueue.length === 0) {
        this.probeQueue = this.shuffle(this.others().map(({ name }) => name));
        if (this.probeQueue.length === 0) return undefined;
      }
      const member = this.membersByName.get(this.probeQueue.pop() ?? '');
      if (member !== undefined && isPresent(member)) return member;
    }
  }

  private others(): Member[] {
    return this.members().filter(({ name }) => name !== this.own.name);
  }

  private shuffle<T>(values: readonly T[]): T[] {
    return values
      .map((value) => ({ value, sortKey: this.options.random.next() }))
      .sort((a, b) => a.sortKey - b.sortKey)
      .map(({ value }) => value);
  }

  private async probe(target: Member): Promise<void> {
    const { clock } = this.options;
    const { ackTimeoutMs, probeIntervalMs } = this.settings;
    const startedAt = clock.now();
    if (await this.ping(target.address, target.name, ackTimeoutMs)) return;
    const left = Math.max(ackTimeoutMs, startedAt + probeIntervalMs - clock.now());
    const answers = await Promise.all([
      this.pingOnNewConnection(target, left),
      ...this.pickProbers(target).map((prober) => this.requestIndirectProbe(prober, target, left)),
    ]);
    const wasSlow = clock.now() - startedAt > probeIntervalMs + slowProbeMs;
    if (answers.includes(true) || wasSlow || this.stopped.signal.aborted) return;
    const current = this.membersByName.get(target.name);
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
    // Another daemon may now use the address of a dead one.
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

  private async pingOnNewConnection(target: Member, timeoutMs: number): Promise<boolean> {
    if (this.options.skipsFreshConnection === true) return false;
    const { clock, peers } = this.options;
    const deadline = clock.now() + timeoutMs;
    const connected = await peers.reconnect(target.address, timeoutMs);
    if (connected.isErr()) return false;
    const left = Math.max(this.settings.ackTimeoutMs, deadline - clock.now());
    return this.ping(target.address, target.name, left);
  }

  private pickProbers(target: Member): Member[] {
    const candidates = this.others().filter(
      ({ name, status }) => name !== target.name && status === MemberStatus.alive,
    );
    return this.shuffle(candidates).slice(0, this.settings.indirectProbes);
  }

  private async requestIndirectProbe(
    prober: Member,
    target: Member,
    timeoutMs: number,
  ): Promise<boolean> {
    const message = { kind: 'm.probe', a: target.address, n: target.name };
    const answer = await this.options.peers.request(prober.address, message, timeoutMs);
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
    const sender = this.membersByName.get(name);
    const isCurrent = sender !== undefined && sender.incarnation >= Number(message.i);
    const updates = this.dissemination.updates();
    // Tells a sender that is not considered alive, so that it can refute that.
    const isRefutable = sender !== undefined && sender.status !== MemberStatus.alive;
    const u = isRefutable ? [toWire(memberFact(sender)), ...updates] : updates;
    const ack = { kind: 'm.ack', n: this.own.name, i: this.own.incarnation, u };
    return isCurrent ? ack : { ...ack, w: true };
  }

  private async repairLoop(): Promise<void> {
    const { clock, random } = this.options;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      await clock.sleep(this.settings.repairIntervalMs * (0.75 + random.next() / 2), signal);
      if (signal.aborted) return;
      await this.repairWithRandomMember();
      this.removeExpired(clock.now());
    }
  }

  private async repairWithRandomMember(): Promise<void> {
    this.lastRepairAt = this.options.clock.now();
    const [partner] = this.shuffle(this.others());
    if (partner !== undefined) await this.dissemination.repair(partner.address);
  }

  /** Contacts dead members and unknown contacts, so that the parts merge when a partition heals. */
  private async retryLoop(): Promise<void> {
    const { clock, random } = this.options;
    const { probeIntervalMs, retryIntervalMs } = this.settings;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const isJoining = clock.now() - this.startedAt < joinPhaseMs;
      await clock.sleep(
        (isJoining ? probeIntervalMs : retryIntervalMs) * (0.75 + random.next() / 2),
        signal,
      );
      if (signal.aborted) return;
      const dead = [...this.membersByName.values()].filter(
        ({ status }) => status === MemberStatus.dead,
      );
      const addresses = new Set([
        ...(await this.unknownContacts()),
        ...dead.map(({ address }) => address),
      ]);
      addresses.delete(this.own.address);
      const [address] = this.shuffle([...addresses]);
      if (address !== undefined) await this.dissemination.repair(address);
    }
  }

  private removeExpired(now: number): void {
    this.dissemination.forgetTombstonesBefore(now - this.settings.retentionMs);
    this.membersByName.forEach((member, name) => {
      if (this.dissemination.table.get(memberKey(member.name)) === undefined)
        this.membersByName.delete(name);
    });
  }
}
