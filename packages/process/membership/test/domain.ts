import {
  type Endpoint,
  type EndpointConnector,
  type EndpointReport,
  type Host,
  SeededRandom,
} from '@currantdrift/core';
import { MemoryNetwork, VirtualClock } from '@currantdrift/fakes';
import {
  EndpointDirectory,
  Membership,
  type MembershipOptions,
  Watchers,
} from '@currantdrift/membership';
import { PeerConnections, type PeerOptions } from '@currantdrift/peer';
import { err, ok } from 'neverthrow';

export const startMs = 1_700_000_000_000;

/** Simulated endpoints that answer with the reports set by a test. */
export class ReportingEndpoints implements EndpointConnector {
  readonly reports = new Map<string, EndpointReport>();

  readonly silent = new Set<string>();

  set(endpoint: string, change: Partial<EndpointReport>): void {
    const known = this.reports.get(endpoint);
    const report: EndpointReport = {
      endpoint,
      bootId: 'boot-1',
      state: 'live',
      epoch: 0,
      memoryBytes: 80e9,
      items: [],
      cached: [],
      running: 0,
      waiting: 0,
      slots: 8,
      ...known,
      ...change,
      sequence: change.sequence ?? (known?.sequence ?? 0) + 1,
    };
    this.reports.set(endpoint, report);
  }

  connect(host: Host): Endpoint {
    const report = () => {
      const known = this.reports.get(host.name);
      if (known !== undefined && !this.silent.has(host.name)) return Promise.resolve(ok(known));
      const failure = { kind: 'unreachable', step: 'report', peer: host.name, message: 'down' };
      return Promise.resolve(err(failure));
    };
    return { id: host.name, domain: host.domain, pool: host.pool, report } as unknown as Endpoint;
  }
}

export interface Daemon {
  readonly name: string;
  readonly address: string;
  readonly peers: PeerConnections;
  readonly membership: Membership;
  readonly directory: EndpointDirectory;
  readonly watchers: Watchers;
}

export interface DomainOptions {
  readonly size: number;
  readonly endpoints?: readonly string[];
  readonly peer?: Partial<PeerOptions>;
  readonly membership?: Partial<MembershipOptions>;
  readonly trustsLateReports?: boolean;
  readonly seed?: number;
}

export const host = (name: string, change: Partial<Host> = {}): Host => ({
  name,
  kind: 'engine',
  domain: 'vake',
  address: `10.1.0.1:${8000 + Number(name.split('-')[1])}`,
  state: 'live',
  incarnation: 1,
  pool: 'drafting',
  fencing: true,
  ...change,
});

/** A domain of daemons in one process, in virtual time. */
export class Domain {
  readonly clock = VirtualClock.create(startMs);

  readonly network: MemoryNetwork;

  readonly endpoints = new ReportingEndpoints();

  hosts: Host[];

  readonly daemons: readonly Daemon[];

  constructor(private readonly options: DomainOptions) {
    const { endpoints = [], seed = 7, size } = options;
    this.network = MemoryNetwork.create(this.clock, { random: SeededRandom.create(seed) });
    this.hosts = endpoints.map((name) => host(name));
    endpoints.forEach((name) => this.endpoints.set(name, {}));
    const addresses = Array.from({ length: size }, (_each, index) => `10.0.0.${index}:7000`);
    this.daemons = addresses.map((address, index) => this.daemon(address, index, addresses));
  }

  async start(settleMs = 8000): Promise<void> {
    this.daemons.forEach((daemon) => this.startDaemon(daemon));
    await this.clock.advance(settleMs);
  }

  startDaemon({ membership, peers, watchers }: Daemon): void {
    peers.listen().catch(() => {});
    membership
      .start()
      .then(() => watchers.start())
      .catch(() => {});
  }

  /** Kills a daemon without an announcement to the others. */
  kill({ address, membership, peers, watchers }: Daemon): void {
    this.network.kill(address);
    watchers.stop();
    membership.stop();
    peers.close().catch(() => {});
  }

  /** Status of a member as seen by every other daemon. */
  statuses(name: string): string[] {
    return this.daemons
      .filter((daemon) => daemon.name !== name)
      .map(({ membership }) => membership.member(name)?.status ?? 'unknown');
  }

  /** Records all further status changes, as `OBSERVER sees MEMBER: STATUS`. */
  record(): string[] {
    const changes: string[] = [];
    this.daemons.forEach(({ membership, name }) =>
      membership.onChange((member, previous) => {
        if (member.status !== previous?.status) {
          changes.push(`${name} sees ${member.name}: ${member.status}`);
        }
      }),
    );
    return changes;
  }

  private daemon(address: string, index: number, addresses: readonly string[]): Daemon {
    const { seed = 7 } = this.options;
    const clock = this.network.clockOf(address);
    const name = `daemon-${index}`;
    const peers = PeerConnections.create({
      network: this.network.handle(address),
      clock,
      address,
      ...this.options.peer,
    });
    const random = SeededRandom.create(seed * 1000 + index);
    const membership = Membership.create({
      self: { name, address, operatorAddress: `${address}1`, domain: 'vake' },
      peers,
      clock,
      random,
      contacts: () => Promise.resolve(addresses),
      ...this.options.membership,
    });
    const directory = EndpointDirectory.create({
      table: membership.dissemination.table,
      domain: 'vake',
      trustsLateReports: this.options.trustsLateReports,
    });
    const watchers = Watchers.create({
      membership,
      directory,
      connector: this.endpoints,
      clock,
      random,
      hosts: () => this.hosts,
    });
    return { name, address, peers, membership, directory, watchers };
  }
}
