import {
  type Head,
  type PreparedBundle,
  readHistory,
  Rollout,
  type RolloutOutcome,
  type SignedBundle,
} from '@currantdrift/bundle';
import { type Failure, HostKind } from '@currantdrift/core';
import { ok, type Result } from 'neverthrow';
import type { CallerEntry } from '../request/caller-entry';
import type { NodeOptions } from './node-options';
import type { Explanation, Operations, StatusReport } from './operations';
import { explainItem, inDoubtOrders, reportStatus, type ReportContext } from './report';
import { wire, type Wiring } from './wiring';

/** Interval between checks for open requests while stopping, in ms. */
const stopPollMs = 50;

/** Time after startup beyond which unknown endpoints no longer delay readiness, in ms. */
const readinessGraceMs = 5_000;

/**
 * A daemon without its process: connects all components, but has no HTTP servers and reads no
 * files.
 */
export class Node implements Operations {
  readonly entry: CallerEntry;

  private readonly tasks = new AbortController();

  private startedAt: number | undefined;

  /** Control traffic up to the last report, in bytes. */
  private reportedBytes = { in: 0, out: 0 };

  private reportedAt: number | undefined;

  private constructor(
    private readonly options: NodeOptions,
    private readonly parts: Wiring,
  ) {
    this.entry = parts.entry;
  }

  static create(options: NodeOptions): Node {
    return new Node(options, wire(options));
  }

  /**
   * Listens for peers, joins the domain and loads the newest bundle available from peers or the
   * store.
   */
  async start(): Promise<Result<void, Failure>> {
    const { clock } = this.options;
    const { peers, hosts, membership, watchers, links, exchange } = this.parts;
    const listening = await peers.listen();
    if (listening.isErr()) return listening;
    await hosts.refresh();
    await membership.start();
    watchers.start();
    links.start();
    const contacts = [
      ...hosts.contacts(),
      ...hosts.otherDomainDaemons().map(({ address }) => address),
    ];
    const found = await exchange.loadNewest(contacts);
    if (found.isErr()) {
      const { step, message } = found.error;
      this.options.telemetry.log('no bundle found', { step, message });
    }
    this.startedAt = clock.now();
    this.runTasks();
    return ok(undefined);
  }

  /**
   * Makes the readiness check fail, so that the load balancer sends no new callers, and takes only requests
   * that are expected to end in time.
   */
  beginStop(): void {
    const now = this.options.clock.now();
    this.parts.plannedStop.begin(now, now);
  }

  private get isStopping(): boolean {
    return this.parts.plannedStop.isStopping;
  }

  /** Gives up this daemon's roles and leaves the domain. Requests in progress continue. */
  async leave(): Promise<void> {
    const { controllers, links, watchers, membership } = this.parts;
    this.tasks.abort();
    await controllers.stop();
    links.stop();
    watchers.stop();
    await membership.leave();
  }

  /** Waits up to `limitMs` for open requests, then closes. Returns the number still open. */
  async stop(limitMs: number): Promise<number> {
    const { clock } = this.options;
    const { admission, peers, entry, ledger, admissionAbort } = this.parts;
    const end = clock.now() + limitMs;
    // If an outcome is not recorded, a retry with the same key gets the outcome "unknown".
    const isBusy = () => entry.openRequests > 0 || ledger.unrecordedCount > 0;
    while (isBusy() && clock.now() < end) await clock.sleep(stopPollMs);
    admission.close(clock.now());
    admissionAbort.abort();
    await peers.close(Math.max(0, end - clock.now()));
    return entry.openRequests;
  }

  status(): StatusReport {
    return reportStatus(this.reportContext());
  }

  explain(item: string): Explanation | undefined {
    return explainItem(this.reportContext(), item);
  }

  drain(target: string, isDrained: boolean): boolean {
    const { directory, watchers } = this.parts;
    const [ip] = target.split(':');
    const found = directory
      .endpoints()
      .filter(({ host }) => host.name === target || host.address.split(':')[0] === ip);
    found.forEach(({ host }) => watchers.setDrained(host.name, isDrained));
    return found.length > 0;
  }

  bundle(): PreparedBundle | undefined {
    return this.parts.holder.current;
  }

  history(): Promise<Result<readonly Head[], Failure>> {
    return readHistory(this.parts.store);
  }

  async rollout(signed: SignedBundle, operator: string): Promise<RolloutOutcome> {
    const { clock, random, trusted, protections } = this.options;
    const { store, reader } = this.parts;
    const rollout = Rollout.create({
      store,
      clock,
      random,
      trusted,
      ...(protections?.rollout && { protections: protections.rollout }),
    });
    const outcome = await rollout.run(signed, operator);
    if (outcome.kind === 'done') await reader.load();
    return outcome;
  }

  trustedKeys(): Readonly<Record<string, string>> {
    return this.options.trustedKeys;
  }

  /** Updates counters and gauges; must be called periodically. */
  report(): void {
    const { telemetry } = this.options;
    const { admission, controllers, entry, holder, peers } = this.parts;
    const { bytesIn, bytesOut } = peers.traffic.control;
    const control = 'currantdrift_control_bytes_total';
    telemetry.count(control, { direction: 'in' }, bytesIn - this.reportedBytes.in);
    telemetry.count(control, { direction: 'out' }, bytesOut - this.reportedBytes.out);
    this.reportedBytes = { in: bytesIn, out: bytesOut };
    telemetry.gauge('currantdrift_queue_length', admission.waiting);
    telemetry.gauge('currantdrift_open_requests', entry.openRequests);
    telemetry.gauge('currantdrift_bundle_version', holder.version);
    telemetry.gauge('currantdrift_controller', controllers.controller?.isHolder ? 1 : 0);
    telemetry.gauge('currantdrift_in_doubt_orders', inDoubtOrders(this.parts).length);
    this.countIdleTime(this.options.clock.now());
  }

  /** Adds the accelerator time that idle replicas used since the last report. */
  private countIdleTime(now: number): void {
    const { controllers, costOf } = this.parts;
    const elapsedSeconds = (now - (this.reportedAt ?? now)) / 1000;
    this.reportedAt = now;
    const idle = controllers.controller?.status().idleItems ?? [];
    const accelerators = idle.reduce((sum, name) => sum + costOf(name).accelerators, 0);
    const metric = 'currantdrift_idle_accelerator_seconds_total';
    this.options.telemetry.count(metric, undefined, accelerators * elapsedSeconds);
  }

  private runTasks(): void {
    const { signal } = this.tasks;
    const { admission, controllers, exchange, hosts, admissionAbort, wakes } = this.parts;
    const { crashLinks, relay, restoreTask } = this.parts;
    const tasks: readonly [string, Promise<void>][] = [
      ['admission', admission.run(this.options.clock, admissionAbort.signal)],
      ['hosts', hosts.run(signal)],
      ['wakes', wakes.run(signal)],
      ['controller', controllers.run(signal)],
      ['bundles', exchange.run(signal)],
      ['relay', relay.run(signal)],
      ['restores', restoreTask.run(signal)],
      ['crash links', crashLinks.run(signal)],
    ];
    tasks.forEach(([task, running]) =>
      running.catch((error: unknown) => {
        this.options.telemetry.log('task failed', { task, message: String(error) });
      }),
    );
  }

  /**
   * Whether the daemon has a bundle and knows the endpoints of its domain. Without them it would
   * refuse requests that other daemons can serve.
   */
  private isReady(): boolean {
    const { startedAt } = this;
    if (startedAt === undefined || this.isStopping) return false;
    if (this.parts.holder.current === undefined) return false;
    return this.options.clock.now() - startedAt > readinessGraceMs || this.knowsAllEndpoints();
  }

  private knowsAllEndpoints(): boolean {
    const { directory, hosts } = this.parts;
    return hosts.hosts
      .filter(({ domain, kind }) => domain === this.options.domain && kind !== HostKind.daemon)
      .every(({ name }) => directory.endpoint(name) !== undefined);
  }

  private reportContext(): ReportContext {
    return {
      ...this.parts,
      options: this.options,
      ready: this.isReady(),
      stopping: this.isStopping,
    };
  }
}
