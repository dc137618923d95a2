import {
  type Clock,
  type EndpointConnector,
  type EndpointReport,
  type Failure,
  hash32,
  type Host,
  HostKind,
  type Random,
  NoopTelemetry,
  type Telemetry,
} from '@currantdrift/core';
import { err, type Result } from 'neverthrow';
import { Assignment } from './assignment';
import type { EndpointDirectory } from './endpoint-directory';
import { removedFact } from './endpoint-facts';
import { askReport, EndpointWatcher, type WatcherOutput } from './endpoint-watcher';
import { FactPrefix } from './fact';
import { levelsFact } from './level-facts';
import type { Membership } from './membership';

export interface WatchersOptions {
  readonly membership: Membership;
  readonly directory: EndpointDirectory;
  readonly connector: EndpointConnector;
  readonly clock: Clock;
  readonly random: Random;
  /**
   * The host list as last read: the same array until it is read again. Hosts of other domains and
   * daemons are passed over.
   */
  readonly hosts: () => readonly Host[];
  readonly telemetry?: Telemetry;
}

export type ReportListener = (host: Host, report: EndpointReport) => void;

/** Time between two looks at members and hosts, in ms. */
const assignMs = 500;

/**
 * Time for which an endpoint must fall to this daemon before it takes it, in ms. While a domain
 * starts each daemon knows few members, and would watch and publish most endpoints for a moment.
 */
const takeAfterMs = 1500;

/** Shortest time between two publications of load levels, in ms. */
const levelsMs = 5000;

/**
 * Time for each member between two publications of levels, in ms. Levels then take the same
 * number of bytes at each daemon in a domain of any size.
 */
const levelsMsPerMember = 1000;

/** Time for which a host must be gone from the lagging list before its endpoint is removed, in ms. */
const removalMs = 15_000;

interface Running {
  readonly watcher: EndpointWatcher;
  readonly stop: AbortController;
}

/** Watches the endpoints that fall to this daemon, one task for each. */
export class Watchers {
  private readonly running = new Map<string, Running>();

  private readonly listeners: ReportListener[] = [];

  private readonly levels = new Map<string, number>();

  private levelsChanged = false;

  private levelsAt = Number.NEGATIVE_INFINITY;

  private levelsSequence = 0;

  private readonly missingSince = new Map<string, number>();

  /** What the present assignment was made from. */
  private assignment: { readonly hosts: readonly Host[]; readonly members: number } | undefined;

  private readonly owners = Assignment.create();

  private memberChanges = 0;

  /** The host list as last read, and its endpoints in the own domain. */
  private hostsRead: readonly Host[] = [];

  private ownHosts: readonly Host[] = [];

  /** Time since which each endpoint falls to this daemon, in ms since the epoch. */
  private assignedSince: ReadonlyMap<string, number> = new Map();

  private stopped = new AbortController();

  private readonly output: WatcherOutput;

  private readonly telemetry: Telemetry;

  private constructor(private readonly options: WatchersOptions) {
    const { membership } = options;
    membership.onChange((member, previous) => {
      if (member.status !== previous?.status) this.memberChanges += 1;
    });
    this.telemetry = options.telemetry ?? NoopTelemetry.create();
    this.output = {
      fact: (key) => membership.dissemination.table.get(key),
      publish: (fact, atOnce) => {
        membership.publish(fact, atOnce);
      },
      level: (endpoint, level) => this.takeLevel(endpoint, level),
      report: (host, report) => this.listeners.forEach((listener) => listener(host, report)),
    };
  }

  static create(options: WatchersOptions): Watchers {
    return new Watchers(options);
  }

  /** Starts the loop that follows members and hosts. */
  start(): void {
    this.stopped = new AbortController();
    this.loop(this.stopped.signal).catch((error: unknown) => {
      this.telemetry.log('watchers failed', { message: String(error) });
    });
  }

  /** Ends all tasks; another member takes over when this one has left. */
  stop(): void {
    this.stopped.abort();
    this.running.forEach(({ stop }) => stop.abort());
    this.running.clear();
    this.assignment = undefined;
    this.assignedSince = new Map();
  }

  /** Names of the endpoints that this daemon watches. */
  watched(): readonly string[] {
    return [...this.running.keys()].sort();
  }

  /** Calls `listener` with each new report of an endpoint that this daemon watches. */
  onReport(listener: ReportListener): void {
    this.listeners.push(listener);
  }

  /** Asks any endpoint of the domain for its report, on a connection of its own. */
  async fetchReport(id: string, timeoutMs?: number): Promise<Result<EndpointReport, Failure>> {
    const { connector, clock, directory } = this.options;
    const host = this.hosts().find(({ name }) => name === id) ?? directory.endpoint(id)?.host;
    if (host === undefined) {
      const message = 'no such endpoint in this domain';
      return err({ kind: 'unreachable', step: 'endpoint.report', peer: id, message });
    }
    return askReport(connector.connect(host), clock, timeoutMs);
  }

  /** Marks an endpoint as drained by an operator, or ends that, in the whole domain. */
  setDrained(id: string, isDrained = true): void {
    const key = `${FactPrefix.drain}${id}`;
    const known = this.output.fact(key);
    const rank = [(known?.rank[0] ?? 0) + 1, hash32(this.options.membership.self.name)];
    this.output.publish({ key, rank, value: isDrained }, true);
  }

  private hosts(): readonly Host[] {
    const read = this.options.hosts();
    if (read === this.hostsRead) return this.ownHosts;
    const { domain } = this.options.membership.self;
    this.hostsRead = read;
    this.ownHosts = read.filter((host) => host.domain === domain && host.kind !== HostKind.daemon);
    return this.ownHosts;
  }

  private async loop(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      this.assign(clock.now());
      this.publishLevels(clock.now());
      await clock.sleep(assignMs, signal);
    }
  }

  private assign(now: number): void {
    const hosts = this.hosts();
    const members = this.options.membership.alive().map(({ name }) => name);
    const own = this.ownEndpoints(hosts, members, now);
    const byName = new Map(hosts.map((host) => [host.name, host]));
    this.running.forEach(({ stop }, name) => {
      if (own.has(name)) return;
      stop.abort();
      this.running.delete(name);
      this.levels.delete(name);
    });
    own.forEach((since, name) => {
      const host = byName.get(name);
      if (host === undefined) return;
      const running = this.running.get(name);
      if (running !== undefined) running.watcher.update(host);
      else if (now - since >= takeAfterMs) this.watch(host);
    });
    this.removeMissing(byName, now);
  }

  /** Hashing is repeated only when members or the host list change. */
  private ownEndpoints(
    hosts: readonly Host[],
    members: readonly string[],
    now: number,
  ): ReadonlyMap<string, number> {
    const assignment = { hosts: this.hostsRead, members: this.memberChanges };
    const isSame =
      assignment.hosts === this.assignment?.hosts && assignment.members === this.assignment.members;
    if (isSame) return this.assignedSince;
    this.assignment = assignment;
    const before = this.assignedSince;
    const names = hosts.map(({ name }) => name);
    this.owners.update(names, members);
    const own = names.filter((name) => this.isOwn(name));
    this.assignedSince = new Map(own.map((name) => [name, before.get(name) ?? now]));
    return this.assignedSince;
  }

  private isOwn(endpoint: string): boolean {
    return this.owners.owner(endpoint) === this.options.membership.self.name;
  }

  private watch(host: Host): void {
    const { clock, connector, membership, random } = this.options;
    const watcher = EndpointWatcher.create({
      host,
      connector,
      clock,
      random,
      output: this.output,
      watcher: hash32(membership.self.name),
    });
    const stop = new AbortController();
    this.running.set(host.name, { watcher, stop });
    watcher.run(stop.signal).catch((error: unknown) => {
      this.telemetry.log('watcher failed', { peer: host.name, message: String(error) });
      // The next look at the assignment starts a new task.
      if (this.running.get(host.name)?.watcher === watcher) this.running.delete(host.name);
    });
  }

  private removeMissing(hosts: ReadonlyMap<string, Host>, now: number): void {
    // An empty list is a list that has not been read yet.
    if (hosts.size === 0) return;
    this.options.directory.endpoints().forEach(({ host: { name } }) => {
      if (hosts.has(name)) {
        this.missingSince.delete(name);
        return;
      }
      const since = this.missingSince.get(name) ?? now;
      this.missingSince.set(name, since);
      if (now - since < removalMs || !this.removesEndpoints()) return;
      const [incarnation = 0] = this.output.fact(`${FactPrefix.endpoint}${name}`)?.rank ?? [];
      const rank = [incarnation + 1, 1, hash32(this.options.membership.self.name)];
      this.output.publish(removedFact(name, rank), false);
      this.missingSince.delete(name);
    });
  }

  /** Endpoints that are not listed have no watcher; the first member removes them. */
  private removesEndpoints(): boolean {
    const { membership } = this.options;
    return membership.alive()[0]?.name === membership.self.name;
  }

  private takeLevel(endpoint: string, level: number): void {
    if (this.levels.get(endpoint) === level) return;
    this.levels.set(endpoint, level);
    this.levelsChanged = true;
  }

  private publishLevels(now: number): void {
    const { membership } = this.options;
    const interval = Math.max(levelsMs, levelsMsPerMember * membership.members().length);
    if (!this.levelsChanged || now - this.levelsAt < interval) return;
    this.levelsChanged = false;
    this.levelsAt = now;
    this.levelsSequence += 1;
    const rank = [membership.self.incarnation, this.levelsSequence];
    membership.publish(levelsFact(membership.self.name, this.levels, rank));
  }
}
