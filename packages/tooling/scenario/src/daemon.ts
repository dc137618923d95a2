import {
  type Clock,
  type EndpointConnector,
  type Host,
  type HostList,
  type LimitListener,
  type LimitSource,
  NoopTelemetry,
  SeededRandom,
  type StatedLimit,
  type Store,
} from '@currantdrift/core';
import { Process } from '@currantdrift/fakes';
import { Node } from '@currantdrift/node';
import { apiKeyOf, type Deployment, readMarker } from './deployment';
import { EndpointHandle } from './endpoint-handle';
import type { History, Outage } from './history';
import type { Operators } from './operators';
import { type Platform, seedOf } from './platform';
import { changeFor, type Protection } from './protections';

/** What all daemons of a run share. */
export interface Surroundings {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly off: Protection | undefined;
  readonly clock: Clock;
  readonly history: History;
  readonly platform: Platform;
  readonly operators: Operators;
}

/** Time that a graceful stop may take, in ms. */
const stopLimitMs = 60_000;

/** Time between the first sign of a stop and the end of new callers, in ms. */
const drainDelayMs = 1_000;

const stopDurations = {
  keepIdleMs: drainDelayMs,
  acceptMs: drainDelayMs,
  finishMs: drainDelayMs + stopLimitMs,
};

const weights = {
  loadsPerSecond: 4,
  loadsAtOnce: 4,
  // The fakes load 20 GB in 20 s.
  bytesPerSecond: 1e9,
  adapterTransits: 30,
} as const;

/** A simulated daemon: the real decision code with handles of its own to everything outside. */
export class Daemon {
  process: Process;

  node: Node;

  /** New callers come; false while it is stopping and after its end. */
  isOpen = true;

  private incarnation = 1;

  private orderPauseMs = 0;

  private outage: Outage | undefined;

  private constructor(
    readonly name: string,
    readonly domain: string,
    private readonly around: Surroundings,
  ) {
    this.process = Process.create(around.clock);
    this.node = this.createNode();
  }

  static create(name: string, domain: string, around: Surroundings): Daemon {
    return new Daemon(name, domain, around);
  }

  get address(): string {
    return this.around.platform.addressOf(this.name);
  }

  async start(): Promise<void> {
    const started = await this.node.start();
    if (started.isErr()) throw new Error(`${this.name} did not start: ${started.error.message}`);
  }

  pause(ms: number): void {
    if (this.process.isDead) return;
    const { platform, clock } = this.around;
    const { process } = this;
    this.beginOutage();
    process.pause();
    platform.network.pause(this.address);
    clock.sleep(ms).then(() => {
      if (process.isDead) return;
      this.endOutage();
      platform.network.resume(this.address);
      process.resume();
    });
  }

  /** Pauses the process when it has decided on its next order and not sent it. */
  pauseBeforeOrder(ms: number): void {
    this.orderPauseMs = ms;
  }

  kill(): void {
    if (this.process.isDead) return;
    const { platform } = this.around;
    this.isOpen = false;
    this.beginOutage();
    this.process.kill();
    platform.network.kill(this.address);
    platform.network.resume(this.address);
  }

  /** Starts a new process under the same name and address. */
  async restart(): Promise<void> {
    this.kill();
    this.endOutage();
    this.incarnation += 1;
    const { incarnation } = this;
    this.around.platform
      .listHost(this.name, (host: Host) => ({ ...host, incarnation }))
      .catch(() => {});
    this.process = Process.create(this.around.clock);
    this.node = this.createNode();
    await this.start();
    this.isOpen = true;
  }

  /** Ends the process after its requests. */
  async stop(): Promise<void> {
    const { clock, history, off } = this.around;
    history.stops.push({ daemon: this.name, at: clock.now() });
    if (off === 'graceful-stop') {
      this.kill();
      return;
    }
    const { node, process } = this;
    node.beginStop();
    this.isOpen = false;
    await process.clock.sleep(drainDelayMs);
    await node.leave();
    const open = await node.stop(stopLimitMs);
    history.note(clock.now(), `${this.name} stopped with ${open} open requests`);
    this.kill();
  }

  /** Notes which bundle callers see. */
  sampleVersion(): void {
    const { deployment, history, clock } = this.around;
    if (this.process.isDead || this.process.isPaused) return;
    const caller = this.node.entry.authenticate(apiKeyOf(deployment.callers[0]));
    if (caller === undefined) return;
    const seen = readMarker(this.node.entry.items(caller));
    const last = history.versions.findLast(({ daemon }) => daemon === this.name);
    const process = this.incarnation;
    if (last?.process === process && last.version === seen.version && last.label === seen.label) {
      return;
    }
    const at = clock.now();
    history.versions.push({ at, daemon: this.name, process, ...seen });
    history.note(at, `${this.name} serves bundle ${seen.version} ${seen.label}`);
  }

  private beginOutage(): void {
    if (this.outage !== undefined) return;
    const { clock, history } = this.around;
    this.outage = { daemon: this.name, from: clock.now(), until: Infinity };
    history.outages.push(this.outage);
  }

  private endOutage(): void {
    if (this.outage !== undefined) this.outage.until = this.around.clock.now();
    this.outage = undefined;
  }

  private beforeOrder(process: Process): void {
    if (this.orderPauseMs === 0 || process !== this.process) return;
    const pauseMs = this.orderPauseMs;
    this.orderPauseMs = 0;
    this.around.history.note(this.around.clock.now(), `${this.name} is paused before an order`);
    this.pause(pauseMs);
  }

  /** Notes a call that an endpoint has answered, and passes on the limit that the answer states. */
  private noteArrival(host: Host, sentAt: number, listeners: readonly LimitListener[]): void {
    const { clock, history, platform } = this.around;
    const { requestLimitPerS: ratePerS } = platform.endpoint(host.name);
    history.arrivals.push({
      endpoint: host.name,
      at: sentAt,
      request: undefined,
      holder: undefined,
      process: this.name,
      start: this.incarnation,
      answeredAt: clock.now(),
      saysLimit: ratePerS !== undefined,
    });
    const stated: StatedLimit =
      ratePerS === undefined ? { kind: 'none' } : { kind: 'limit', ratePerS };
    listeners.forEach((listener) => listener(host, stated, sentAt));
  }

  private createNode(): Node {
    const { clock, deployment, off, operators, platform, seed } = this.around;
    const { name, domain, process, address } = this;
    const hidesLeaving = off === 'leaving-marks';
    const listeners: LimitListener[] = [];
    const connector: EndpointConnector & LimitSource = {
      onLimit: (listener) => listeners.push(listener),
      connect: (host) =>
        EndpointHandle.create({
          onArrival: (sentAt) => this.noteArrival(host, sentAt, listeners),
          target: platform.endpoint(host.name),
          daemon: name,
          process,
          links: platform.links,
          clock,
          tellsKinds: off !== 'failure-kinds',
          tellsLeaving: !hidesLeaving,
          onOrder: () => this.beforeOrder(process),
        }),
    };
    return Node.create({
      name,
      domain,
      region: deployment.domains.find((one) => one.name === domain)?.region ?? '',
      address,
      operatorAddress: address,
      seeds: [],
      trusted: operators.trusted,
      trustedKeys: operators.publicKeys,
      // Idle time costs nothing, so that what is loaded does not depend on the keep-warm policy.
      prices: { idleHour: 0, coldSecond: 1 },
      weights,
      queue: { capacity: 256, callerCapacity: 256 },
      stopDurations,
      clock: process.clock,
      random: SeededRandom.create(seedOf(seed, `${name} ${this.incarnation}`)),
      telemetry: NoopTelemetry.create(),
      store: process.wrap<Store>(platform.storeFor(name)),
      hostList: process.wrap<HostList>(platform.hostListFor(name)),
      connector,
      network: platform.network.handle(address),
      ...changeFor(off),
    });
  }
}
