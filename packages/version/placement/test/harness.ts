import {
  type Bundle,
  type DomainView,
  type Endpoint,
  type EndpointState,
  type Failure,
  type Host,
  type HostList,
  itemKey,
  parseItemKey,
  SeededRandom,
  type Store,
} from '@currantdrift/core';
import { FakeEngine, MemoryStore, Process, StoreHandle, VirtualClock } from '@currantdrift/fakes';
import { err, ok, type Result } from 'neverthrow';
import { Controller, type ControllerOptions, FixedTtl, type Protections } from '../src';

export const domain = 'perth-north';

export const model = (name: string, change: Partial<Bundle['models'][number]> = {}) => ({
  name,
  version: '1',
  bytes: 20e9,
  replicas: 1,
  pool: 'writer',
  calendar: [],
  ...change,
});

export const bundleOf = (change: Partial<Bundle> = {}): Bundle => ({
  version: 1,
  previous: null,
  domains: [{ name: domain, region: 'perth', founding: true }],
  callers: [],
  models: [model('quote-7'), model('plan-2', { bytes: 50e9 })],
  adapters: [{ name: 'quote-7:venues', version: '1', bytes: 1e8, replicas: 1 }],
  services: [],
  ...change,
});

export interface Member {
  readonly process: Process;
  readonly store: StoreHandle;
  readonly controller: Controller;
}

/** A test domain of fake engines with a store and any number of controllers. */
export class World {
  readonly clock = VirtualClock.create(1_000_000);

  readonly memory = MemoryStore.create(this.clock);

  readonly engines: FakeEngine[] = [];

  hosts: Host[] = [];

  bundle: Bundle = bundleOf();

  listDown = false;

  private seed = 1;

  addEngine(id: string, options: Partial<FakeEngine['options']> = {}): FakeEngine {
    const engine = FakeEngine.create(this.clock, { id, domain, pool: 'writer', ...options });
    this.engines.push(engine);
    this.hosts.push(this.host(id, 'engine', engine.fencing));
    return engine;
  }

  host(name: string, kind: Host['kind'], fencing = false, incarnation = 1): Host {
    return {
      name,
      kind,
      domain,
      address: '127.0.0.1:1',
      state: 'live',
      incarnation,
      pool: kind === 'engine' ? 'writer' : '',
      fencing,
    };
  }

  addController(
    name: string,
    options: Partial<ControllerOptions> & { protections?: Partial<Protections> } = {},
    incarnation = 1,
  ): Member {
    this.hosts = [
      ...this.hosts.filter((host) => host.name !== name),
      this.host(name, 'daemon', false, incarnation),
    ];
    const process = Process.create(this.clock);
    const store = StoreHandle.create(this.memory, this.clock);
    this.seed += 1;
    const controller = Controller.create({
      domain,
      daemon: { daemon: name, incarnation },
      store: process.wrap<Store>(store),
      clock: process.clock,
      hosts: process.wrap<HostList>({ read: () => this.readHosts() }),
      endpoint: (id) => {
        const engine = this.engines.find((candidate) => candidate.id === id);
        return engine === undefined ? undefined : process.wrap<Endpoint>(engine);
      },
      bundle: () => this.bundle,
      view: this.view(),
      keepWarm: FixedTtl.create(600_000),
      random: SeededRandom.create(this.seed),
      ...options,
    });
    controller.run().catch(() => {});
    return { process, store, controller };
  }

  /** The state that watchers would disseminate, without delay. */
  view(): DomainView {
    const state = (engine: FakeEngine): EndpointState => ({
      host: this.host(engine.id, 'engine', engine.fencing),
      bootId: engine.bootId,
      sequence: Number.MAX_SAFE_INTEGER,
      state: engine.state,
      memoryBytes: engine.options.memoryBytes,
      items: engine.items,
      cached: [],
      slots: engine.options.slots,
      level: 0,
    });
    const holds = (engine: FakeEngine, item: string) =>
      engine.items.some((held) => held.item === item && held.state === 'ready');
    return {
      endpoint: (id) => this.engines.filter((engine) => engine.id === id).map(state)[0],
      endpoints: () => this.engines.map(state),
      replicas: (item) => this.engines.filter((engine) => holds(engine, item)).map(state),
      pool: (pool) => this.engines.filter((engine) => engine.pool === pool).map(state),
    };
  }

  /** Items that each engine actually holds. */
  held(): Record<string, string[]> {
    return Object.fromEntries(
      this.engines.map((engine) => [
        engine.id,
        engine.items.map(({ item, state }) => `${item} ${state}`),
      ]),
    );
  }

  private async readHosts(): Promise<Result<readonly Host[], Failure>> {
    return this.listDown
      ? err({ kind: 'unreachable', step: 'hosts.read', peer: 'platform', message: 'cut off' })
      : ok(this.hosts);
  }
}

/**
 * Lists items with more replicas than `limitOf` and engines above their memory, by actual contents.
 */
export const violations = (
  engines: readonly FakeEngine[],
  limitOf: (name: string) => number,
): string[] => {
  const counts = new Map<string, number>();
  engines
    .flatMap(({ items }) => items)
    .forEach(({ item }) => {
      const name = parseItemKey(item)?.name ?? item;
      counts.set(name, (counts.get(name) ?? 0) + 1);
    });
  return [
    ...[...counts]
      .filter(([name, count]) => count > limitOf(name))
      .map(([name, count]) => `${count} replicas of ${name}, ${limitOf(name)} allowed`),
    ...engines
      .filter(({ usedBytes, options }) => usedBytes > options.memoryBytes)
      .map(({ id, usedBytes }) => `${usedBytes} bytes on ${id}`),
  ];
};

export const keyOf = itemKey;
