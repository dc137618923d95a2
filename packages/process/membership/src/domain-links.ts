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
import type { ProbingPeers } from './probing-peers';

/** A daemon of another domain, from the host list or the settings. */
export interface DomainContact {
  readonly domain: string;
  readonly address: string;
}

export interface DomainLinksOptions {
  readonly membership: Membership;
  readonly directory: EndpointDirectory;
  readonly summaries: DomainSummaries;
  readonly peers: ProbingPeers;
  readonly clock: Clock;
  readonly random: Random;
  /** Daemons of other domains; those of the own domain are passed over. */
  readonly contacts: () => readonly DomainContact[];
  /** Version of the bundle in force here and free accelerator memory of the domain, 0 to 8. */
  readonly status: () => { readonly bundleVersion: number; readonly spareLevel: number };
  readonly telemetry?: Telemetry;
}

/** Daemons of a domain that keep links to other domains. */
const relayCount = 2;

/** Addresses in a summary that take forwarded requests. */
const entryCount = 4;

/** Shortest time between two messages on a link, in ms. */
const intervalMs = 1000;

/** Time between two messages on a link without changes, in ms. */
const keepaliveMs = 3000;

/** Silence of another domain after which its summary is stale, in ms. */
const staleMs = 10_000;

/** Silence of the sending relay after which the other relay of the domain takes over, in ms. */
const takeoverMs = 8000;

const requestTimeoutMs = 900;

/** Bytes of items in a message; the whole message stays under 1 KB. */
const maxItemBytes = 700;

/** Names of the members that relay between domains. */
export const relaysOf = (members: readonly string[]): string[] =>
  rendezvousOrder('bundle', members).slice(0, relayCount);

/** The sending side of a link to another domain. */
interface Link {
  /** Epoch of this sender's list; 0 while the other relay sends. */
  epoch: number;
  sequence: number;
  /** Items that the other domain takes for warm. */
  sent: Set<string>;
  /** Header as last sent, encoded. */
  header: string;
  /** Whether the whole list has been sent since the link opened. */
  isComplete: boolean;
  sentAt: number;
  /** Whether a message waits for its answer. */
  isBusy: boolean;
  openedAt: number;
  /** Relays of the other domain, as it named them. */
  targets: readonly string[];
}

/** What a domain tells the others. */
interface Content {
  readonly warm: ReadonlySet<string>;
  readonly header: SummaryHeader;
}

const texts = (value: unknown): readonly string[] =>
  Array.isArray(value) ? value.filter((each): each is string => typeof each === 'string') : [];

/** As many items as fit into one message. */
const fitting = (items: readonly string[], bytes: number): string[] => {
  let room = bytes;
  return items.filter((item) => {
    room -= pack(item).length;
    return room >= 0;
  });
};

/**
 * Exchanges summaries with the other domains. One of the two relays of a domain sends to each other
 * domain; it numbers its list with an epoch above all that the other domain has seen. The second
 * relay sends nothing but short questions, and takes over when the other domain has not heard from
 * the first.
 */
export class DomainLinks {
  private readonly links = new Map<string, Link>();

  /** Time of the last message of a sender in each other domain, in ms since the epoch. */
  private readonly heardAt = new Map<string, number>();

  /** Start of the present time as a relay, in ms since the epoch. */
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

  /** Tells whether this daemon is a relay of its domain now. */
  isRelay(): boolean {
    return this.relays().includes(this.options.membership.self.name);
  }

  /** Names of the relays of the own domain, best first. */
  relays(): string[] {
    return relaysOf(this.options.membership.alive().map(({ name }) => name));
  }

  private async loop(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    await clock.sleep(random.next() * intervalMs, signal);
    while (!signal.aborted) {
      if (this.isRelay()) {
        this.relaySince ??= clock.now();
        this.tend(clock.now());
      } else {
        this.relaySince = undefined;
        this.links.clear();
      }
      await clock.sleep(intervalMs, signal);
    }
  }

  private tend(now: number): void {
    const own = this.options.membership.self.domain;
    const contacts = this.options.contacts().filter(({ domain }) => domain !== own);
    const domains = [...new Set(contacts.map(({ domain }) => domain))];
    this.judge(now);
    const content = { warm: new Set(this.options.directory.warmItems()), header: this.header() };
    domains.forEach((domain) => {
      const addresses = contacts.filter((each) => each.domain === domain);
      this.speakOnce(
        this.link(domain, now),
        content,
        addresses.map(({ address }) => address),
      ).catch((error: unknown) => {
        this.telemetry.log('domain link failed', { peer: domain, message: String(error) });
      });
    });
  }

  /** A domain that does not answer must not delay the messages to the others. */
  private async speakOnce(
    given: Link,
    content: Content,
    contacts: readonly string[],
  ): Promise<void> {
    const link = given;
    if (link.isBusy) return;
    link.isBusy = true;
    await this.speak(link, content, contacts).finally(() => {
      link.isBusy = false;
    });
  }

  /** Publishes which domains the relays of this one hear from. */
  private judge(now: number): void {
    const own = hash32(this.options.membership.self.name);
    const relays = this.relays().map(hash32);
    this.options.summaries.domains().forEach((domain) => {
      const key = `${FactPrefix.heard}${domain}`;
      const known = this.options.membership.dissemination.table.get(key);
      const isHeard = now - (this.heardAt.get(domain) ?? Number.NEGATIVE_INFINITY) < staleMs;
      const publisher = known?.rank[1] ?? 0;
      // The relay that said that it hears from a domain is the one to take that back.
      const isOwnToDeny = publisher === own || !relays.includes(publisher);
      const mayDeny = isOwnToDeny && now - (this.relaySince ?? now) >= staleMs;
      if (known?.value === isHeard || (!isHeard && !mayDeny)) return;
      this.options.membership.publish({
        key,
        rank: [(known?.rank[0] ?? 0) + 1, own],
        value: isHeard,
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

  private async speak(given: Link, content: Content, contacts: readonly string[]): Promise<void> {
    const link = given;
    const { clock } = this.options;
    const isDue = clock.now() - link.sentAt >= keepaliveMs;
    if (link.epoch === 0) {
      if (isDue) await this.ask(link, contacts);
      return;
    }
    const message = this.message(link, content);
    if (message === undefined && !isDue) return;
    link.sentAt = clock.now();
    const answer = await this.send(link, contacts, message ?? this.keepalive(link));
    if (answer === undefined) return;
    if (message !== undefined) this.confirm(link, message);
    this.yieldTo(link, answer);
    if (isDue) this.remind(link);
  }

  /** A relay that does not send asks whether the other one does. */
  private async ask(given: Link, contacts: readonly string[]): Promise<void> {
    const link = given;
    const { clock, membership } = this.options;
    const now = clock.now();
    link.sentAt = now;
    const answer = await this.send(link, contacts, this.keepalive(link));
    if (answer === undefined) return;
    const isFirst = this.relays()[0] === membership.self.name;
    const heardAgoMs = typeof answer.g === 'number' ? answer.g : undefined;
    const isSilent = heardAgoMs === undefined || heardAgoMs >= takeoverMs;
    // The second relay leaves time to the first before it sends to a domain that heard from none.
    const mayStart = heardAgoMs !== undefined || isFirst || now - link.openedAt >= takeoverMs;
    if (isSilent && mayStart) link.epoch = Number(answer.e) + 1;
  }

  private yieldTo(given: Link, answer: Message): void {
    const link = given;
    const { e: epoch } = answer;
    // A domain whose daemons were all replaced knows nothing of what was sent.
    const isForgotten = epoch === 0;
    const isOutranked =
      Number(epoch) > link.epoch ||
      (epoch === link.epoch && answer.o !== hash32(this.options.membership.self.name));
    if (isForgotten || isOutranked) this.close(link);
  }

  /** The whole list is sent again under a new epoch when the link opens again. */
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

  /** The next changes; undefined if there are none. */
  private message(given: Link, { warm, header }: Content): Message | undefined {
    const link = given;
    const added = [...warm].filter((item) => !link.sent.has(item));
    const removed = [...link.sent].filter((item) => !warm.has(item));
    const a = fitting(added, maxItemBytes);
    const r = a.length === added.length ? fitting(removed, maxItemBytes - pack(a).length) : [];
    const isLast = a.length === added.length && r.length === removed.length;
    const completes = isLast && !link.isComplete;
    const isChanged = JSON.stringify(header) !== link.header;
    if (a.length === 0 && r.length === 0 && !completes && !isChanged) return undefined;
    // An attempt without an answer may have taken effect, so each one has a number of its own.
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

  private confirm(given: Link, message: Message): void {
    const link = given;
    link.header = JSON.stringify(message.h);
    link.isComplete = message.z === true;
    texts(message.a).forEach((item) => link.sent.add(item));
    texts(message.r).forEach((item) => link.sent.delete(item));
  }

  private async send(
    given: Link,
    contacts: readonly string[],
    message: Message,
  ): Promise<Message | undefined> {
    const link = given;
    const { peers, random } = this.options;
    const stranger = contacts[Math.floor(random.next() * contacts.length)];
    for (const address of [...link.targets, stranger]) {
      const answer = await peers.request(address, message, requestTimeoutMs);
      if (answer.isOk()) {
        link.targets = texts(answer.value.t);
        return answer.value;
      }
    }
    return undefined;
  }

  /** Lets the other relays of the domain hear that this one can be reached. */
  private remind(link: Link): void {
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
    const before = this.heardAt.get(domain);
    if (epoch > 0) {
      this.heardAt.set(domain, now);
      this.take(domain, [epoch, Number(message.s ?? 0), sender], message);
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

  private take(domain: string, rank: Rank, message: Message): void {
    const { membership } = this.options;
    const header = readHeader(message.h);
    if (header === undefined) return;
    const key = `${FactPrefix.domain}${domain}`;
    const known = membership.dissemination.table.get(key);
    const previous = Array.isArray(known?.value) ? Number(known.value[3]) : 0;
    const warm = (items: unknown, value: boolean) =>
      texts(items).forEach((item) => {
        membership.publish({ key: warmKey(domain, item), rank, value });
      });
    warm(message.a, true);
    warm(message.r, false);
    const complete = message.z === true ? rank[0] : previous;
    membership.publish({ key, rank, value: [...header, complete] });
  }
}
