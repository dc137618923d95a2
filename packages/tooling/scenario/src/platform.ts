import {
  type Clock,
  type Failure,
  type Host,
  type HostList,
  hash32,
  type Store,
} from '@currantdrift/core';
import {
  FakeEngine,
  FakeService,
  MemoryNetwork,
  MemoryStore,
  type MemoryStoreCopy,
  ObservedEngine,
  StoreHandle,
} from '@currantdrift/fakes';
import { CauseKind } from '@currantdrift/soak';
import { err, ok, type Result } from 'neverthrow';
import type { Deployment } from './deployment';
import type { History } from './history';
import { Links } from './links';
import type { Protection } from './protections';

/** Time until the platform's host list shows a change, in ms. */
const hostListLagMs = 1_000;

/** Time of a call to the store from any domain, in ms. */
const storeLatencyMs = 4;

/** One-way latency between daemons of a domain, of a region and of two regions, in ms. */
const latencyMs = { domain: 1, region: 1.5, world: 8 } as const;

/** Duration of a load by the tier that holds the checkpoint, in ms. */
const loadMs = { memory: 500, disk: 4_000, remote: 20_000 } as const;

/** Upper bound of the tokens of an answer; requests ask for fewer. */
const maxAnswerTokens = 10_000;

/** Stand-ins of everything outside the daemons, and what happens to them. */
export class Platform {
  readonly links = new Links();

  readonly store: MemoryStore;

  readonly network: MemoryNetwork;

  readonly engines = new Map<string, ObservedEngine>();

  private readonly crashingContents = new Set<string>();

  readonly services = new Map<string, FakeService>();

  /** Duration of loads, shared by all engines. */
  private readonly loadMs: { memory: number; disk: number; remote: number } = { ...loadMs };

  private readonly handles: { readonly daemon: string; readonly handle: StoreHandle }[] = [];

  private storeCopy: MemoryStoreCopy | undefined;

  private storeDown = false;

  private storeLatencyMs = storeLatencyMs;

  private storeWatchesSilent = false;

  /** Writes whose answers are still to be lost. */
  private writesToLose = 0;

  private hosts: readonly Host[] = [];

  private constructor(
    private readonly deployment: Deployment,
    private readonly clock: Clock,
    private readonly history: History,
    private readonly off: Protection | undefined,
  ) {
    this.store = MemoryStore.create(clock);
    this.network = MemoryNetwork.create(clock);
    this.addEngines();
    this.addServices();
    deployment.domains.forEach(({ name, daemons }, domain) =>
      daemons.forEach((daemon, index) =>
        this.put({
          name: daemon,
          kind: 'daemon',
          domain: name,
          address: `127.0.${domain}.${index + 1}:7000`,
          state: 'live',
          incarnation: 1,
          pool: '',
          fencing: false,
        }),
      ),
    );
    this.setLatencies();
  }

  static create(
    deployment: Deployment,
    clock: Clock,
    history: History,
    off: Protection | undefined,
  ): Platform {
    return new Platform(deployment, clock, history, off);
  }

  addressOf(daemon: string): string {
    return this.hosts.find(({ name }) => name === daemon)?.address ?? '';
  }

  /** Daemons and endpoints of a domain, the named one, or everything for `all`. */
  pointsOf(place: string): readonly string[] {
    const names = this.hosts
      .filter(({ name, domain }) => place === 'all' || domain === place || name === place)
      .map(({ name }) => name);
    if (place === 'store' || place === 'hosts') return [place];
    return place === 'all' ? [...names, 'store', 'hosts'] : names;
  }

  /** Cuts two places from each other, heals them, or silences the connections between them. */
  change(action: 'cut' | 'heal' | 'silence', a: string, b: string): void {
    const [near, far] = Platform.apart(this.pointsOf(a), this.pointsOf(b));
    near.forEach((one) => far.forEach((other) => this.changePair(action, one, other)));
    this.updateStoreHandles();
  }

  /** The store as a daemon reaches it. */
  storeFor(daemon: string): Store {
    const handle = StoreHandle.create(this.store, this.clock);
    this.handles.push({ daemon, handle });
    handle.faults.losesAnswer = (call) => {
      if (this.links.isCut(daemon, 'store')) return true;
      if (call !== 'compareAndSwap' || this.writesToLose === 0) return false;
      this.writesToLose -= 1;
      this.history.note(this.clock.now(), `the store loses an answer to ${daemon}`);
      return true;
    };
    this.updateStoreHandles();
    return handle;
  }

  setStore(change: {
    down?: boolean;
    latencyMs?: number;
    loses?: number;
    silentWatches?: boolean;
  }): void {
    this.storeWatchesSilent = change.silentWatches ?? this.storeWatchesSilent;
    this.storeDown = change.down ?? this.storeDown;
    this.storeLatencyMs = change.latencyMs ?? this.storeLatencyMs;
    this.writesToLose = change.loses ?? this.writesToLose;
    this.updateStoreHandles();
  }

  /** Copies the store, so that it can come back as it is now. */
  copyStore(): void {
    this.storeCopy = this.store.copy();
  }

  /** The store comes back from its last copy: what was written since is gone. */
  restoreStore(): void {
    if (this.storeCopy !== undefined) this.store.restore(this.storeCopy);
  }

  /** The host list as a daemon reaches it. */
  hostListFor(daemon: string): HostList {
    return {
      read: async (): Promise<Result<readonly Host[], Failure>> => {
        if (!this.links.isCut(daemon, 'hosts')) return ok(this.hosts);
        await this.clock.sleep(1_000);
        return err({
          kind: 'unreachable',
          step: 'hosts.read',
          peer: 'hosts',
          message: 'no connection',
        });
      },
    };
  }

  /** Changes what the host list says, after its lag. */
  async listHost(name: string, change: (host: Host) => Host): Promise<void> {
    await this.clock.sleep(hostListLagMs);
    this.hosts = this.hosts.map((host) => (host.name === name ? change(host) : host));
  }

  /** The process of an endpoint says that it is leaving; the host list follows. */
  leave(endpoint: string): void {
    const engine = this.engines.get(endpoint);
    if (engine !== undefined) engine.engine.state = 'leaving';
    const service = this.services.get(endpoint);
    if (service !== undefined) service.state = 'leaving';
    this.history.leaving.set(endpoint, this.clock.now());
    if (this.off === 'leaving-marks') return;
    this.listHost(endpoint, (host) => ({ ...host, state: 'leaving' })).catch(() => {});
  }

  /** From now on the endpoint states this limit on its calls, or none. */
  limit(name: string, ratePerS: number | undefined): void {
    const { history, clock } = this;
    history.endLimit(name, clock.now());
    this.endpoint(name).requestLimitPerS = ratePerS;
    if (ratePerS !== undefined) history.beginLimit(name, ratePerS, clock.now());
  }

  /** From now on messages with this content crash engines, or do not. */
  setCrashing(content: string, isCrashing: boolean): void {
    if (isCrashing) this.crashingContents.add(content);
    else this.crashingContents.delete(content);
  }

  /** Makes loads from the weight store slower by a factor. */
  slowWeights(factor: number): void {
    this.loadMs.remote *= factor;
  }

  endpoint(name: string): ObservedEngine | FakeService {
    const found = this.engines.get(name) ?? this.services.get(name);
    if (found === undefined) throw new Error(`there is no endpoint ${name}`);
    return found;
  }

  engine(name: string): ObservedEngine {
    const found = this.engines.get(name);
    if (found === undefined) throw new Error(`there is no engine ${name}`);
    return found;
  }

  /** Two sets of points without common ones; what is common belongs to the smaller set. */
  private static apart(
    a: readonly string[],
    b: readonly string[],
  ): readonly [readonly string[], readonly string[]] {
    const without = (points: readonly string[], others: readonly string[]) =>
      points.filter((point) => !others.includes(point));
    return a.length <= b.length ? [a, without(b, a)] : [without(a, b), b];
  }

  private put(host: Host): void {
    this.hosts = [...this.hosts, host];
  }

  private addEngines(): void {
    const { engines, fencing, checkpoints } = this.deployment;
    engines.forEach(({ name, domain, pool, memoryBytes, softwareVersion }) => {
      const engine = FakeEngine.create(this.clock, {
        id: name,
        domain,
        pool,
        memoryBytes,
        softwareVersion,
        loadMs: this.loadMs,
        answerTokens: maxAnswerTokens,
        fencing: fencing && this.off !== 'engine-fencing',
      });
      checkpoints
        .filter((checkpoint) => checkpoint.engine === name)
        .forEach(({ model, tier }) => engine.cache(`${model}@1`, tier));
      engine.onChange = () => this.sample(engine);
      const observed = ObservedEngine.create(engine, this.clock);
      this.observeRuns(observed);
      observed.crashingContents = this.crashingContents;
      observed.onCrash = (cause, isQuestion) => {
        const at = this.clock.now();
        const { id: endpoint } = observed;
        const kind = isQuestion ? CauseKind.request : CauseKind.part;
        this.history.crashes.push({ endpoint, kind, cause, at });
        this.history.note(at, `${endpoint} crashes by ${kind} ${cause}`);
      };
      this.engines.set(name, observed);
      this.put({
        name,
        kind: 'engine',
        domain,
        address: `${name}:80`,
        state: 'live',
        incarnation: 1,
        pool,
        fencing,
      });
    });
  }

  private addServices(): void {
    this.deployment.services.forEach(({ name, domain, pool }) => {
      const service = FakeService.create(this.clock, { id: name, domain, pool });
      this.observeRuns(service);
      this.services.set(name, service);
      this.put({
        name,
        kind: 'service',
        domain,
        address: `${name}:80`,
        state: 'live',
        incarnation: 1,
        pool,
        fencing: false,
      });
    });
  }

  private observeRuns(endpoint: ObservedEngine | FakeService): void {
    const observed = endpoint;
    observed.onRun = (run) => {
      this.history.runs.push(run);
      this.history.note(run.at, `${run.endpoint} runs ${run.requestId} of ${run.item}`);
    };
  }

  private sample({ id, usedBytes, options, items }: FakeEngine): void {
    const at = this.clock.now();
    const held = items.map(({ item, state }) => `${item} ${state}`).sort();
    this.history.engines.push({
      at,
      engine: id,
      usedBytes,
      memoryBytes: options.memoryBytes,
      items: items.map(({ item }) => item),
    });
    this.history.note(at, `${id} holds ${held.join(', ') || 'nothing'}`);
  }

  private changePair(action: 'cut' | 'heal' | 'silence', a: string, b: string): void {
    const [from, to] = [this.addressOf(a), this.addressOf(b)];
    if (action === 'silence') {
      this.links.silence(a, b);
      this.network.halfOpen(from, to);
    } else if (this.links[action](a, b)) {
      this.network[action]([from], [to]);
    }
  }

  private updateStoreHandles(): void {
    this.handles.forEach(({ daemon, handle }) => {
      const { faults } = handle;
      faults.down = this.storeDown || this.links.isCut(daemon, 'store');
      faults.latencyMs = this.storeLatencyMs;
      faults.silentWatches = this.storeWatchesSilent;
    });
  }

  private setLatencies(): void {
    const daemons = this.deployment.domains.flatMap(({ name, region, daemons: names }) =>
      names.map((daemon) => ({ domain: name, region, address: this.addressOf(daemon) })),
    );
    daemons.forEach((a) =>
      daemons.forEach((b) => {
        const near = a.domain === b.domain ? latencyMs.domain : latencyMs.region;
        const latency = a.region === b.region ? near : latencyMs.world;
        this.network.setLatency(a.address, b.address, latency);
      }),
    );
  }
}

/** Reproducible number for a name in a run. */
export const seedOf = (seed: number, name: string): number => hash32(`${seed} ${name}`);
