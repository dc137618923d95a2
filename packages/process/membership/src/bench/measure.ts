import {
  type Clock,
  type Endpoint,
  type EndpointConnector,
  type EndpointReport,
  type Host,
  SeededRandom,
} from '@currantdrift/core';
import { ok } from 'neverthrow';
import { EndpointDirectory } from '../endpoint-directory';
import { Membership } from '../membership';
import type { ReconnectablePeers } from '../reconnectable-peers';
import { Watchers } from '../watchers';

interface Traffic {
  readonly bytesIn: number;
  readonly bytesOut: number;
  readonly messagesIn: number;
  readonly messagesOut: number;
}

/** Peer connections of one daemon that also count control traffic. */
export interface MeasuredPeers extends ReconnectablePeers {
  readonly traffic: { readonly control: Traffic };
  close(): Promise<void>;
}

export interface MeasureOptions {
  /** Number of members of the domain, in all processes. */
  readonly members: number;
  /** Index of the first member that runs in this process, and their number; all by default. */
  readonly first?: number;
  readonly count?: number;
  /** Peer addresses of all members. */
  readonly addresses: readonly string[];
  /** Warm-up time before the measurement, in ms. */
  readonly settleMs: number;
  readonly durationMs: number;
  readonly clock: Clock;
  /** Creates and starts the peer connections of a daemon. */
  readonly peers: (address: string) => Promise<MeasuredPeers>;
}

/** Cost of membership and dissemination per daemon. */
export interface MeasuredCost {
  readonly members: number;
  readonly endpoints: number;
  /** Encoded control messages sent, in bytes/s. */
  readonly bytesOutPerSecond: number;
  readonly bytesInPerSecond: number;
  /** Rate of the daemon that sent the most. */
  readonly maxBytesOutPerSecond: number;
  readonly messagesOutPerSecond: number;
  /** Share of a core, in percent. */
  readonly cpuPercent: number;
  /** Heap and buffers, in MB. */
  readonly memoryMb: number;
  /** Share of daemons whose directory has the latest state of all endpoints, in percent. */
  readonly upToDatePercent: number;
}

const endpointsPerMember = 10;

const itemsPerEndpoint = 6;

const cachedPerEndpoint = 20;

const slots = 8;

/** Time between two item changes in the domain, in ms. */
const stateChangeMs = 10_000;

/** Time without changes at the end, so that the last change can reach all daemons, in ms. */
const quietMs = 6000;

/** Time for all members to discover each other before they start to watch endpoints, in ms. */
const joinMs = 5000;

const items = (from: number) =>
  Array.from({ length: itemsPerEndpoint }, (_each, index) => ({
    item: `quote-7:venue-${from + index}@3`,
    bytes: 100e6,
    state: 'ready' as const,
    running: 0,
  }));

/** Simulated endpoints; their load changes by up to two requests between reports. */
class SimulatedEndpoints implements EndpointConnector {
  private readonly reports = new Map<string, EndpointReport>();

  private readonly random = SeededRandom.create(5);

  /** Seeded alike in all processes of a domain, so that they make the same changes. */
  private readonly changes = SeededRandom.create(6);

  constructor(private readonly names: readonly string[]) {
    names.forEach((endpoint, index) =>
      this.reports.set(endpoint, {
        endpoint,
        bootId: `boot-${index}`,
        sequence: 1,
        state: 'live',
        epoch: 1,
        memoryBytes: 80e9,
        items: items(index),
        cached: Array.from({ length: cachedPerEndpoint }, (_each, place) => ({
          item: `brief-${index + place}@1`,
          tier: 'disk' as const,
        })),
        running: 3,
        waiting: 0,
        slots,
      }),
    );
  }

  /** Replaces the items of one random endpoint. */
  change(): void {
    const name = this.names[Math.floor(this.changes.next() * this.names.length)];
    const report = this.report(name);
    this.reports.set(name, { ...report, items: items(Math.floor(this.changes.next() * 1000)) });
  }

  connect(host: Host): Endpoint {
    const report = () => Promise.resolve(ok(this.report(host.name)));
    return { id: host.name, domain: host.domain, pool: host.pool, report } as unknown as Endpoint;
  }

  /** Returns whether a directory has the latest items of all endpoints. */
  isKnownTo(directory: EndpointDirectory): boolean {
    return [...this.reports.values()].every(({ endpoint, items: held }) => {
      const known = directory.endpoint(endpoint)?.items.map(({ item }) => item) ?? [];
      return known.join() === held.map(({ item }) => item).join();
    });
  }

  private report(name: string): EndpointReport {
    const known = this.reports.get(name);
    if (known === undefined) throw new Error(`endpoint ${name} does not exist`);
    const step = Math.floor(this.random.next() * 5) - 2;
    const running = Math.min(slots, Math.max(0, known.running + step));
    const report = { ...known, running, sequence: known.sequence + 1 };
    this.reports.set(name, report);
    return report;
  }
}

const usedMb = (): number => {
  globalThis.gc?.();
  const { heapUsed, external } = process.memoryUsage();
  return (heapUsed + external) / 1e6;
};

const round = (value: number): number => Math.round(value * 100) / 100;

/** Runs daemons of a domain in this process and measures the cost of each. */
export const measureMembership = async (options: MeasureOptions): Promise<MeasuredCost> => {
  const { addresses, clock, durationMs, first = 0, members, settleMs } = options;
  const { count = members } = options;
  const memoryBefore = usedMb();
  const names = Array.from({ length: members * endpointsPerMember }, (_e, i) => `engine-${i}`);
  const endpoints = new SimulatedEndpoints(names);
  const hosts: Host[] = names.map((name, index) => ({
    name,
    kind: 'engine',
    domain: 'vake',
    address: `10.1.${Math.floor(index / 250)}.${index % 250}:8000`,
    state: 'live',
    incarnation: 1,
    pool: 'drafting',
    fencing: true,
  }));
  const openPeers = await Promise.all(
    addresses
      .slice(first, first + count)
      .map(async (address) => ({ address, peers: await options.peers(address) })),
  );
  const daemons = openPeers.map(({ address, peers }, place) => {
    const index = first + place;
    const random = SeededRandom.create(index);
    const self = { name: `daemon-${index}`, address, operatorAddress: address, domain: 'vake' };
    const membership = Membership.create({
      self,
      peers,
      clock,
      random,
      contacts: () => Promise.resolve(addresses),
    });
    const directory = EndpointDirectory.create({
      table: membership.dissemination.table,
      domain: 'vake',
    });
    const watchers = Watchers.create({
      membership,
      directory,
      connector: endpoints,
      clock,
      random,
      hosts: () => hosts,
    });
    return { directory, membership, peers, watchers };
  });
  // Daemons start one after another because they share one core: starting 80 at once keeps it busy
  // for longer than the ack timeout, and the run would then measure the core, not the protocol.
  for (const { membership } of daemons) await membership.start();
  await clock.sleep(joinMs);
  daemons.forEach(({ watchers }) => watchers.start());
  await clock.sleep(settleMs);
  const before = daemons.map(({ peers }) => peers.traffic.control);
  const cpuBefore = process.cpuUsage();
  for (let passed = 0; passed < durationMs - quietMs; passed += stateChangeMs) {
    endpoints.change();
    await clock.sleep(Math.min(stateChangeMs, durationMs - quietMs - passed));
  }
  await clock.sleep(quietMs);
  const cpu = process.cpuUsage(cpuBefore);
  const after = daemons.map(({ peers }) => peers.traffic.control);
  const seconds = durationMs / 1000;
  const rates = (field: keyof Traffic) =>
    after.map((traffic, index) => (traffic[field] - before[index][field]) / seconds);
  const mean = (values: readonly number[]) =>
    round(values.reduce((sum, value) => sum + value, 0) / count);
  const upToDate = daemons.filter(({ directory }) => endpoints.isKnownTo(directory)).length;
  const cost: MeasuredCost = {
    members,
    endpoints: names.length,
    bytesOutPerSecond: mean(rates('bytesOut')),
    bytesInPerSecond: mean(rates('bytesIn')),
    maxBytesOutPerSecond: round(Math.max(...rates('bytesOut'))),
    messagesOutPerSecond: mean(rates('messagesOut')),
    cpuPercent: round(((cpu.user + cpu.system) / 1000 / durationMs / count) * 100),
    memoryMb: round((usedMb() - memoryBefore) / count),
    upToDatePercent: round((upToDate / count) * 100),
  };
  daemons.forEach(({ membership, watchers }) => {
    watchers.stop();
    membership.stop();
  });
  await Promise.all(daemons.map(({ peers }) => peers.close()));
  return cost;
};
