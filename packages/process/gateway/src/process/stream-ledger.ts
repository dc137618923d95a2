import {
  BoundedMap,
  type Clock,
  type Message,
  type Peers,
  rendezvousOrder,
} from '@currantdrift/core';
import type { BegunStream, StreamVersions } from '@currantdrift/forward';
import {
  type BegunStreamsMessage,
  parseMessage,
  PeerMessageKind,
  streamResponseSchema,
} from '../connection/peer-messages';
import type { Member, Members } from '../version/members';
import type { SoftwareVersions } from '../version/software-versions';
import type { StoredStreams } from '../version/stored-streams';

/** Streams that are remembered. */
const maxStreams = 20_000;

/** Members that are told of each stream, and that are asked for one. */
const holderCount = 2;
const maxAsked = 8;

/** Time in which streams are gathered before members are told, in ms. */
const gatherMs = 10;

/** Timeout of a question to the other members, in ms. */
const askTimeoutMs = 300;

interface KnownStream extends BegunStream {
  readonly at: number;
  /** Whether it began in this process. */
  readonly isOwn: boolean;
}

export interface StreamLedgerOptions {
  readonly clock: Clock;
  readonly self: Member;
  readonly members: Members;
  readonly peers: Peers;
  readonly send: (address: string, message: Message) => void;
  readonly versions: () => SoftwareVersions;
  readonly stored: StoredStreams;
  readonly streamLifetimeMs: () => number;
}

/**
 * Remembers at which software version streams began. While a service has endpoints of several versions,
 * each stream is told to two other members, by rendezvous hashing of its id, so that it can be taken up
 * when the process that served it has ended, and kept in the store, in case all of them have.
 */
export class StreamLedger implements StreamVersions {
  private readonly streams = BoundedMap.create<KnownStream>(maxStreams);

  /** Streams that members are to be told of. */
  private pending: BegunStream[] = [];

  private constructor(private readonly options: StreamLedgerOptions) {}

  static create(options: StreamLedgerOptions): StreamLedger {
    return new StreamLedger(options);
  }

  record(stream: BegunStream): void {
    const { clock, versions } = this.options;
    const now = clock.now();
    this.streams.set(stream.request, { ...stream, at: now, isOwn: true });
    versions().note(stream.service, stream.softwareVersion, now);
    if (versions().isMixed(stream.service)) this.announce([stream]);
  }

  /** Tells of the streams that may go on in a service which has a second version now. */
  announceAll(service: string): void {
    const { clock, streamLifetimeMs } = this.options;
    const from = clock.now() - streamLifetimeMs();
    const own = this.streams
      .all()
      .map(([, stream]) => stream)
      .filter((stream) => stream.isOwn && stream.service === service && stream.at >= from);
    this.announce(own);
  }

  async find(request: string | undefined, service: string): Promise<string | undefined> {
    const { clock, stored, versions } = this.options;
    const versionOf = (stream: BegunStream | undefined) =>
      stream?.service === service ? stream.softwareVersion : undefined;
    const known = request === undefined ? undefined : await this.lookUp(request);
    if (known !== undefined) return versionOf(known);
    const only = await versions().only(service);
    if (only !== undefined || request === undefined) return only;
    // A read would only delay the refusal.
    if (versions().isOutOfTouch(clock.now())) return undefined;
    return versionOf(await stored.find(request));
  }

  mayBegin(service: string, softwareVersion: string): boolean {
    return this.options.versions().mayBegin(service, softwareVersion);
  }

  /** The stream of an attempt as far as this process knows it. */
  get(request: string): BegunStream | undefined {
    return this.streams.get(request);
  }

  /** Records streams that other members have begun. */
  receive({ service, softwareVersion, requests }: BegunStreamsMessage): void {
    const at = this.options.clock.now();
    requests.forEach((request) =>
      this.streams.set(request, { request, service, softwareVersion, at, isOwn: false }),
    );
  }

  private async lookUp(request: string): Promise<BegunStream | undefined> {
    return this.get(request) ?? this.ask(request);
  }

  /** Resolves with the first answer of a member that knows the stream. */
  private async ask(request: string): Promise<BegunStream | undefined> {
    const answers = this.order(request)
      .slice(0, maxAsked)
      .map((member) => this.askMember(member, request));
    const known = answers.map(
      async (answer) => (await answer) ?? Promise.reject(new Error('unknown')),
    );
    return Promise.any(known).catch(() => undefined);
  }

  private async askMember({ address }: Member, request: string): Promise<BegunStream | undefined> {
    const message = { kind: PeerMessageKind.stream, request };
    const response = await this.options.peers.request(address, message, askTimeoutMs);
    const parsed = response.isOk() ? parseMessage(streamResponseSchema, response.value) : undefined;
    return parsed?.kind === 'begun' ? { request, ...parsed } : undefined;
  }

  /** The other members in the order in which they remember a stream. */
  private order(request: string): Member[] {
    const { members, self } = this.options;
    const byHost = new Map(members.others(self.host).map((member) => [member.host, member]));
    return rendezvousOrder(request, [...byHost.keys()]).flatMap((host) => byHost.get(host) ?? []);
  }

  private announce(streams: readonly BegunStream[]): void {
    if (streams.length === 0) return;
    const { clock, stored } = this.options;
    stored.add(streams, clock.now());
    const isFirst = this.pending.length === 0;
    this.pending.push(...streams);
    if (!isFirst) return;
    clock
      .sleep(gatherMs)
      .then(() => this.sendPending())
      .catch(() => {});
  }

  private sendPending(): void {
    const batches = new Map<string, BegunStreamsMessage & { readonly address: string }>();
    this.pending.forEach(({ request, service, softwareVersion }) =>
      this.order(request)
        .slice(0, holderCount)
        .forEach(({ address }) => {
          const key = JSON.stringify([address, service, softwareVersion]);
          const { requests = [] } = batches.get(key) ?? {};
          const { streams: kind } = PeerMessageKind;
          batches.set(key, {
            kind,
            address,
            service,
            softwareVersion,
            requests: [...requests, request],
          });
        }),
    );
    this.pending = [];
    batches.forEach(({ address, ...message }) => this.options.send(address, message));
  }
}
