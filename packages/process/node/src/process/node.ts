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
import { explainItem, inDoubt, reportStatus, type ReportContext } from './report';
import { wire, type Wiring } from './wiring';

/** Time between two looks at open requests while stopping, in ms. */
const stopPollMs = 50;

/** Time after the start at which missing endpoints no longer keep the daemon from being ready, in ms. */
const formingMs = 5_000;

/** One daemon's decision code, wired together. It has no HTTP servers and reads no files. */
export class Node implements Operations {
  readonly entry: CallerEntry;

  private readonly tasks = new AbortController();

  private startedAt: number | undefined;

  private stopping = false;

  /** Control bytes at the last report. */
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

  /** Listens for peers, joins the domain and takes the newest bundle that it can find. */
  async start(): Promise<Result<void, Failure>> {
    const { clock } = this.options;
    const { peers, hosts, membership, watchers, links, exchange } = this.parts;
    const listening = await peers.listen();
    if (listening.isErr()) return listening;
    await hosts.read();
    await membership.start();
    watchers.start();
    links.start();
    const contacts = [...hosts.contacts(), ...hosts.others().map(({ address }) => address)];
    const found = await exchange.loadNewest(contacts);
    if (found.isErr()) {
      const { step, message } = found.error;
      this.options.telemetry.log('no bundle found', { step, message });
    }
    this.startedAt = clock.now();
    this.runTasks();
    return ok(undefined);
  }

  /** Makes the readiness check fail, so that the balancer sends no new callers. */
  failReadiness(): void {
    this.stopping = true;
  }

  /** Hands roles over and leaves the domain; requests go on. */
  async leave(): Promise<void> {
    const { controllers, links, watchers, membership } = this.parts;
    this.tasks.abort();
    await controllers.stop();
    links.stop();
    watchers.stop();
    await membership.leave();
  }

  /** Waits for open requests up to `limitMs`, then closes. Gives the number still open. */
  async stop(limitMs: number): Promise<number> {
    const { clock } = this.options;
    const { admission, peers, entry, ledger, pump } = this.parts;
    const end = clock.now() + limitMs;
    // An outcome that is not recorded would leave a repeat of its key with "unknown".
    const isBusy = () => entry.openRequests > 0 || ledger.unrecordedCount > 0;
    while (isBusy() && clock.now() < end) await clock.sleep(stopPollMs);
    admission.close(clock.now());
    pump.abort();
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

  /** Sets the gauges; to be called from time to time. */
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
    telemetry.gauge('currantdrift_in_doubt_orders', inDoubt(this.parts).length);
    this.countIdleTime(this.options.clock.now());
  }

  /** Counts the accelerators that idle replicas took since the last report. */
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
    const { admission, controllers, exchange, hosts, pump, relay, wakes } = this.parts;
    const tasks: readonly [string, Promise<void>][] = [
      ['admission', admission.run(this.options.clock, pump.signal)],
      ['hosts', hosts.run(signal)],
      ['wakes', wakes.run(signal)],
      ['controller', controllers.run(signal)],
      ['bundles', exchange.run(signal)],
      ['relay', relay.run(signal)],
    ];
    tasks.forEach(([task, running]) =>
      running.catch((error: unknown) => {
        this.options.telemetry.log('task failed', { task, message: String(error) });
      }),
    );
  }

  /** Has a bundle and knows its domain; a daemon that does not would refuse what others serve. */
  private isReady(): boolean {
    const { startedAt } = this;
    if (startedAt === undefined || this.stopping) return false;
    if (this.parts.holder.current === undefined) return false;
    return this.options.clock.now() - startedAt > formingMs || this.knowsEndpoints();
  }

  private knowsEndpoints(): boolean {
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
      stopping: this.stopping,
    };
  }
}
