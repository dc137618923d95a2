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
import { requestReport, EndpointWatcher, type WatcherOutput } from './endpoint-watcher';
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
   * Returns the host list as last read: the same array until it is read again. Daemons and hosts
   * of other domains are ignored.
   */
  readonly hosts: () => readonly Host[];
  readonly telemetry?: Telemetry;
}

export type ReportListener = (host: Host, report: EndpointReport) => void;

/** Time between two updates of the assignment, in ms. */
const assignIntervalMs = 500;

/**
 * Time for which an endpoint must be assigned to this daemon before it is watched, in ms. While a
 * domain starts, each daemon knows few members and would briefly watch and publish most endpoints.
 */
const takeoverDelayMs = 1500;

/** Minimum time between two publications of load levels, in ms. */
const minLevelsIntervalMs = 5000;

/**
 * Time between two publications of load levels, per member, in ms. Scaling the interval with the
 * member count keeps the traffic for levels at each daemon independent of the size of the domain.
 */
const levelsIntervalPerMemberMs = 1000;

/** Time for which a host must be missing from the (lagging) list before removal, in ms. */
const removalDelayMs = 15_000;

interface RunningWatcher {
  readonly watcher: EndpointWatcher;
  readonly stop: AbortController;
}

/** Watches the endpoints assigned to this daemon, with one task per endpoint. */
export class Watchers {
  private readonly running = new Map<string, RunningWatcher>();

  private readonly listeners: ReportListener[] = [];

  private readonly levels = new Map<string, number>();

  private levelsChanged = false;

  private levelsPublishedAt = Number.NEGATIVE_INFINITY;

  private levelsSequence = 0;

  private readonly missingSince = new Map<string, number>();

  /** Inputs of the current assignment. */
  private assignmentInputs:
    { readonly hosts: readonly Host[]; readonly members: number } | undefined;

  private readonly assignment = Assignment.create();

  private memberChanges = 0;

  /** The host list as last read; `domainHosts` has its endpoints in the local domain. */
  private lastHosts: readonly Host[] = [];

  private domainHosts: readonly Host[] = [];

  /** Time since which each endpoint is assigned to this daemon, in ms since the epoch. */
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
      level: (endpoint, level) => this.setLevel(endpoint, level),
      report: (host, report) => this.listeners.forEach((listener) => listener(host, report)),
    };
  }

  static create(options: WatchersOptions): Watchers {
    return new Watchers(options);
  }

  /** Starts the loop that tracks members and hosts. */
  start(): void {
    this.stopped = new AbortController();
    this.loop(this.stopped.signal).catch((error: unknown) => {
      this.telemetry.log('watchers failed', { message: String(error) });
    });
  }

  /** Stops all tasks; other members take over the endpoints once this one has left. */
  stop(): void {
    this.stopped.abort();
    this.running.forEach(({ stop }) => stop.abort());
    this.running.clear();
    this.assignmentInputs = undefined;
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

  /** Requests a report from any endpoint of the domain on a separate connection. */
  async fetchReport(id: string, timeoutMs?: number): Promise<Result<EndpointReport, Failure>> {
    const { connector, clock, directory } = this.options;
    const host = this.hosts().find(({ name }) => name === id) ?? directory.endpoint(id)?.host;
    if (host === undefined) {
      const message = 'no such endpoint in this domain';
      return err({ kind: 'unreachable', step: 'endpoint.report', peer: id, message });
    }
    return requestReport(connector.connect(host), clock, timeoutMs);
  }

  /** Publishes to the domain whether an operator drains an endpoint. */
  setDrained(id: string, isDrained = true): void {
    const key = `${FactPrefix.drain}${id}`;
    const known = this.output.fact(key);
    const rank = [(known?.rank[0] ?? 0) + 1, hash32(this.options.membership.self.name)];
    this.output.publish({ key, rank, value: isDrained }, true);
  }

  private hosts(): readonly Host[] {
    const read = this.options.hosts();
    if (read === this.lastHosts) return this.domainHosts;
    const { domain } = this.options.membership.self;
    this.lastHosts = read;
    this.domainHosts = read.filter(
      (host) => host.domain === domain && host.kind !== HostKind.daemon,
    );
    return this.domainHosts;
  }

  private async loop(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      this.assign(clock.now());
      this.publishLevels(clock.now());
      await clock.sleep(assignIntervalMs, signal);
    }
  }

  private assign(now: number): void {
    const hosts = this.hosts();
    const members = this.options.membership.alive().map(({ name }) => name);
    const own = this.assignedEndpoints(hosts, members, now);
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
      else if (now - since >= takeoverDelayMs) this.watch(host);
    });
    this.removeMissing(byName, now);
  }

  /** Recomputes the assignment only when the members or the host list changed. */
  private assignedEndpoints(
    hosts: readonly Host[],
    members: readonly string[],
    now: number,
  ): ReadonlyMap<string, number> {
    const inputs = { hosts: this.lastHosts, members: this.memberChanges };
    const isSame =
      inputs.hosts === this.assignmentInputs?.hosts &&
      inputs.members === this.assignmentInputs.members;
    if (isSame) return this.assignedSince;
    this.assignmentInputs = inputs;
    const before = this.assignedSince;
    const names = hosts.map(({ name }) => name);
    this.assignment.update(names, members);
    const own = names.filter((name) => this.isAssignedHere(name));
    this.assignedSince = new Map(own.map((name) => [name, before.get(name) ?? now]));
    return this.assignedSince;
  }

  private isAssignedHere(endpoint: string): boolean {
    return this.assignment.owner(endpoint) === this.options.membership.self.name;
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
      // The next update of the assignment starts a new task.
      if (this.running.get(host.name)?.watcher === watcher) this.running.delete(host.name);
    });
  }

  private removeMissing(hosts: ReadonlyMap<string, Host>, now: number): void {
    // An empty list has not been read yet.
    if (hosts.size === 0) return;
    this.options.directory.endpoints().forEach(({ host: { name } }) => {
      if (hosts.has(name)) {
        this.missingSince.delete(name);
        return;
      }
      const since = this.missingSince.get(name) ?? now;
      this.missingSince.set(name, since);
      if (now - since < removalDelayMs || !this.isRemover()) return;
      const [incarnation = 0] = this.output.fact(`${FactPrefix.endpoint}${name}`)?.rank ?? [];
      const rank = [incarnation + 1, 1, hash32(this.options.membership.self.name)];
      this.output.publish(removedFact(name, rank), false);
      this.missingSince.delete(name);
    });
  }

  /** Endpoints that are not in the host list have no watcher; the first member removes them. */
  private isRemover(): boolean {
    const { membership } = this.options;
    return membership.alive()[0]?.name === membership.self.name;
  }

  private setLevel(endpoint: string, level: number): void {
    if (this.levels.get(endpoint) === level) return;
    this.levels.set(endpoint, level);
    this.levelsChanged = true;
  }

  private publishLevels(now: number): void {
    const { membership } = this.options;
    const interval = Math.max(
      minLevelsIntervalMs,
      levelsIntervalPerMemberMs * membership.members().length,
    );
    if (!this.levelsChanged || now - this.levelsPublishedAt < interval) return;
    this.levelsChanged = false;
    this.levelsPublishedAt = now;
    this.levelsSequence += 1;
    const rank = [membership.self.incarnation, this.levelsSequence];
    membership.publish(levelsFact(membership.self.name, this.levels, rank));
  }
}
