import {
  type Clock,
  hash32,
  type Message,
  type Random,
  rendezvousOrder,
  NoopTelemetry,
  type Telemetry,
} from '@currantdrift/core';
import { pack } from 'msgpackr';
import type { EndpointDirectory } from './endpoint-directory';
import { type DomainSummaries, readHeader, type SummaryHeader, warmKey } from './domain-summaries';
import { FactPrefix, type Rank } from './fact';
import type { Membership } from './membership';
import type { ReconnectablePeers } from './reconnectable-peers';

/** Address of a daemon of another domain, from the host list or the settings. */
export interface DomainContact {
  readonly domain: string;
  readonly address: string;
}

export interface DomainLinksOptions {
  readonly membership: Membership;
  readonly directory: EndpointDirectory;
  readonly summaries: DomainSummaries;
  readonly peers: ReconnectablePeers;
  readonly clock: Clock;
  readonly random: Random;
  /** Daemons of other domains; those of the local domain are ignored. */
  readonly contacts: () => readonly DomainContact[];
  /** Active bundle version and free accelerator memory of the domain, 0 (none) to 8 (all). */
  readonly status: () => { readonly bundleVersion: number; readonly spareLevel: number };
  readonly telemetry?: Telemetry;
}

/** Number of daemons of a domain that keep links to other domains. */
const relayCount = 2;

/** Number of addresses in a summary that accept forwarded requests. */
const entryCount = 4;

/** Minimum time between two messages on a link, in ms. */
const intervalMs = 1000;

/** Keepalive interval of a link without changes, in ms. */
const keepaliveMs = 3000;

/** Time without messages from another domain after which its summary is stale, in ms. */
const staleMs = 10_000;

/** Time without messages from the sending relay after which the other relay takes over, in ms. */
const takeoverMs = 8000;

const requestTimeoutMs = 900;

/** Maximum size of the items in a message, in bytes; keeps the whole message under 1 KB. */
const maxItemBytes = 700;

/** Returns the names of the members that act as relays between domains. */
export const selectRelays = (members: readonly string[]): string[] =>
  rendezvousOrder('bundle', members).slice(0, relayCount);

/** State of the sending side of a link to another domain. */
interface Link {
  /** Epoch of this sender's item list; 0 while the other relay sends. */
  epoch: number;
  sequence: number;
  /** Items that the other domain has confirmed as warm. */
  sent: Set<string>;
  /** Last confirmed header, as JSON. */
  header: string;
  /** Whether the whole list has been sent since the link opened. */
  isComplete: boolean;
  sentAt: number;
  /** Whether a message awaits its answer. */
  isBusy: boolean;
  openedAt: number;
  /** Relay addresses of the other domain, from its last answer. */
  targets: readonly string[];
}

/** Summary of the local domain that is sent to other domains. */
interface SummaryContent {
  readonly warm: ReadonlySet<string>;
  readonly header: SummaryHeader;
}

const stringsIn = (value: unknown): readonly string[] =>
  Array.isArray(value) ? value.filter((each): each is string => typeof each === 'string') : [];

/** Returns the items that fit into the given number of bytes. */
const takeFitting = (items: readonly string[], bytes: number): string[] => {
  let remaining = bytes;
  return items.filter((item) => {
    remaining -= pack(item).length;
    return remaining >= 0;
  });
};

/**
 * Exchanges summaries with the other domains. For each other domain one of the two relays of a
 * domain is the sender; its item list has an epoch higher than any that the other domain has seen.
 * The second relay only sends keepalives, and takes over when the other domain reports that it no
 * longer receives messages from the first.
 */
export class DomainLinks {
  private readonly links = new Map<string, Link>();

  /** Time of the last message from the sending relay of each domain, in ms since the epoch. */
  private readonly lastMessageAt = new Map<string, number>();

  /** Time since which this daemon has been a relay, in ms since the epoch. */
  private relaySince: number | undefined;

  private stopped = new AbortController();

  private readonly telemetry: Telemetry;

  private constructor(private readonly options: DomainLinksOptions) {
    this.telemetry = options.telemetry ?? NoopTelemetry.create();
    options.peers.onRequest('d.link', (message) => this.onLink(message));
  }

  static create(options: DomainLinksOptions): DomainLinks {
    return new DomainLinks(options);
  }

  start(): void {
    this.stopped = new AbortController();
    this.loop(this.stopped.signal).catch((error: unknown) => {
      this.telemetry.log('domain links failed', { message: String(error) });
    });
  }

  stop(): void {
    this.stopped.abort();
  }

  /** Returns whether this daemon is currently a relay of its domain. */
  isRelay(): boolean {
    return this.relays().includes(this.options.membership.self.name);
  }

  /** Names of the relays of the local domain in rendezvous order. */
  relays(): string[] {
    return selectRelays(this.options.membership.alive().map(({ name }) => name));
  }

  private async loop(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    await clock.sleep(random.next() * intervalMs, signal);
    while (!signal.aborted) {
      if (this.isRelay()) {
        this.relaySince ??= clock.now();
        this.updateLinks(clock.now());
      } else {
        this.relaySince = undefined;
        this.links.clear();
      }
      await clock.sleep(intervalMs, signal);
    }
  }

  private updateLinks(now: number): void {
    const own = this.options.membership.self.domain;
    const contacts = this.options.contacts().filter(({ domain }) => domain !== own);
    const domains = [...new Set(contacts.map(({ domain }) => domain))];
    this.publishReachability(now);
    const content = { warm: new Set(this.options.directory.warmItems()), header: this.header() };
    domains.forEach((domain) => {
      const addresses = contacts.filter((each) => each.domain === domain);
      this.sendUnlessBusy(
        this.link(domain, now),
        content,
        addresses.map(({ address }) => address),
      ).catch((error: unknown) => {
        this.telemetry.log('domain link failed', { peer: domain, message: String(error) });
      });
    });
  }

  /** Runs per link, so that a domain that does not answer doesn't delay messages to the others. */
  private async sendUnlessBusy(
    given: Link,
    content: SummaryContent,
    contacts: readonly string[],
  ): Promise<void> {
    const link = given;
    if (link.isBusy) return;
    link.isBusy = true;
    await this.sendDue(link, content, contacts).finally(() => {
      link.isBusy = false;
    });
  }

  /** Publishes which domains the relays of the local domain receive messages from. */
  private publishReachability(now: number): void {
    const own = hash32(this.options.membership.self.name);
    const relays = this.relays().map(hash32);
    this.options.summaries.domains().forEach((domain) => {
      const key = `${FactPrefix.domainReachable}${domain}`;
      const known = this.options.membership.dissemination.table.get(key);
      const isReachable =
        now - (this.lastMessageAt.get(domain) ?? Number.NEGATIVE_INFINITY) < staleMs;
      const publisher = known?.rank[1] ?? 0;
      // Only the relay that published a domain as reachable may retract that while it is a relay.
      const mayReplace = publisher === own || !relays.includes(publisher);
      const mayReportSilence = mayReplace && now - (this.relaySince ?? now) >= staleMs;
      if (known?.value === isReachable || (!isReachable && !mayReportSilence)) return;
      this.options.membership.publish({
        key,
        rank: [(known?.rank[0] ?? 0) + 1, own],
        value: isReachable,
      });
    });
  }

  private link(domain: string, now: number): Link {
    const known = this.links.get(domain);
    if (known !== undefined) return known;
    const link: Link = {
      epoch: 0,
      sequence: 0,
      sent: new Set(),
      header: '',
      isComplete: false,
      sentAt: Number.NEGATIVE_INFINITY,
      isBusy: false,
      openedAt: now,
      targets: [],
    };
    this.links.set(domain, link);
    return link;
  }

  private async sendDue(
    given: Link,
    content: SummaryContent,
    contacts: readonly string[],
  ): Promise<void> {
    const link = given;
    const { clock } = this.options;
    const isDue = clock.now() - link.sentAt >= keepaliveMs;
    if (link.epoch === 0) {
      if (isDue) await this.queryRemoteRelay(link, contacts);
      return;
    }
    const message = this.message(link, content);
    if (message === undefined && !isDue) return;
    link.sentAt = clock.now();
    const answer = await this.send(link, contacts, message ?? this.keepalive(link));
    if (answer === undefined) return;
    if (message !== undefined) this.markDelivered(link, message);
    this.closeIfOutranked(link, answer);
    if (isDue) this.notifyOtherRelays(link);
  }

  /** Asks the other domain when it last received a message from the sending relay. */
  private async queryRemoteRelay(given: Link, contacts: readonly string[]): Promise<void> {
    const link = given;
    const { clock, membership } = this.options;
    const now = clock.now();
    link.sentAt = now;
    const answer = await this.send(link, contacts, this.keepalive(link));
    if (answer === undefined) return;
    const isFirst = this.relays()[0] === membership.self.name;
    const sinceLastMessageMs = typeof answer.g === 'number' ? answer.g : undefined;
    const isSilent = sinceLastMessageMs === undefined || sinceLastMessageMs >= takeoverMs;
    // If the other domain has had no sender yet, the second relay first waits for the first one.
    const mayStart =
      sinceLastMessageMs !== undefined || isFirst || now - link.openedAt >= takeoverMs;
    if (isSilent && mayStart) link.epoch = Number(answer.e) + 1;
  }

  private closeIfOutranked(given: Link, answer: Message): void {
    const link = given;
    const { e: epoch } = answer;
    // Epoch 0: all daemons of the other domain were replaced, and what was sent before is lost.
    const isForgotten = epoch === 0;
    const isOutranked =
      Number(epoch) > link.epoch ||
      (epoch === link.epoch && answer.o !== hash32(this.options.membership.self.name));
    if (isForgotten || isOutranked) this.close(link);
  }

  /** Resets a link; when it is opened again, the whole list is sent under a new epoch. */
  private close(given: Link): void {
    const link = given;
    link.epoch = 0;
    link.sequence = 0;
    link.sent = new Set();
    link.header = '';
    link.isComplete = false;
    link.targets = [];
  }

  private header(): SummaryHeader {
    const { membership, status } = this.options;
    const { bundleVersion, spareLevel } = status();
    const members = membership.alive();
    const chosen = rendezvousOrder(
      'entry',
      members.map(({ name }) => name),
    ).slice(0, entryCount);
    const entries = members.filter(({ name }) => chosen.includes(name));
    return [bundleVersion, spareLevel, entries.map(({ address }) => address)];
  }

  private keepalive(link: Link): Message {
    const { domain, name } = this.options.membership.self;
    return { kind: 'd.link', d: domain, o: hash32(name), e: link.epoch };
  }

  /** Builds the message with the next changes; undefined if there are none. */
  private message(given: Link, { warm, header }: SummaryContent): Message | undefined {
    const link = given;
    const added = [...warm].filter((item) => !link.sent.has(item));
    const removed = [...link.sent].filter((item) => !warm.has(item));
    const a = takeFitting(added, maxItemBytes);
    const r = a.length === added.length ? takeFitting(removed, maxItemBytes - pack(a).length) : [];
    const isLast = a.length === added.length && r.length === removed.length;
    const completes = isLast && !link.isComplete;
    const isChanged = JSON.stringify(header) !== link.header;
    if (a.length === 0 && r.length === 0 && !completes && !isChanged) return undefined;
    // A message without an answer may have been applied, so each attempt gets a new number.
    link.sequence += 1;
    return {
      ...this.keepalive(link),
      s: link.sequence,
      h: header,
      a,
      r,
      z: isLast || link.isComplete,
    };
  }

  private markDelivered(given: Link, message: Message): void {
    const link = given;
    link.header = JSON.stringify(message.h);
    link.isComplete = message.z === true;
    stringsIn(message.a).forEach((item) => link.sent.add(item));
    stringsIn(message.r).forEach((item) => link.sent.delete(item));
  }

  private async send(
    given: Link,
    contacts: readonly string[],
    message: Message,
  ): Promise<Message | undefined> {
    const link = given;
    const { peers, random } = this.options;
    const randomContact = contacts[Math.floor(random.next() * contacts.length)];
    for (const address of [...link.targets, randomContact]) {
      const answer = await peers.request(address, message, requestTimeoutMs);
      if (answer.isOk()) {
        link.targets = stringsIn(answer.value.t);
        return answer.value;
      }
    }
    return undefined;
  }

  /** Sends a keepalive to the remaining relays, so that they also see this domain as reachable. */
  private notifyOtherRelays(link: Link): void {
    link.targets
      .slice(1)
      .forEach((address) => this.options.peers.notify(address, this.keepalive(link)));
  }

  private onLink(message: Message): Message {
    const { clock, membership } = this.options;
    const { d: domain, e: epoch, o: sender } = message;
    if (typeof domain !== 'string' || typeof epoch !== 'number' || typeof sender !== 'number') {
      return { kind: 'd.ok' };
    }
    const now = clock.now();
    const before = this.lastMessageAt.get(domain);
    if (epoch > 0) {
      this.lastMessageAt.set(domain, now);
      this.applySummary(domain, [epoch, Number(message.s ?? 0), sender], message);
    }
    const known = membership.dissemination.table.get(`${FactPrefix.domain}${domain}`);
    const addresses = this.relays().flatMap((name) => membership.member(name)?.address ?? []);
    const answer = {
      kind: 'd.ok',
      e: known?.rank[0] ?? 0,
      o: known?.rank[2] ?? 0,
      t: addresses,
    };
    return before === undefined ? answer : { ...answer, g: now - before };
  }

  private applySummary(domain: string, rank: Rank, message: Message): void {
    const { membership } = this.options;
    const header = readHeader(message.h);
    if (header === undefined) return;
    const key = `${FactPrefix.domain}${domain}`;
    const known = membership.dissemination.table.get(key);
    const previous = Array.isArray(known?.value) ? Number(known.value[3]) : 0;
    const warm = (items: unknown, value: boolean) =>
      stringsIn(items).forEach((item) => {
        membership.publish({ key: warmKey(domain, item), rank, value });
      });
    warm(message.a, true);
    warm(message.r, false);
    const complete = message.z === true ? rank[0] : previous;
    membership.publish({ key, rank, value: [...header, complete] });
  }
}
