import { type DomainView, type EndpointState, hash32, HostState } from '@currantdrift/core';
import {
  type BootList,
  type CachedItem,
  type EndpointBase,
  readBase,
  readCached,
  readItems,
  type StateItem,
} from './endpoint-facts';
import { type Fact, FactPrefix } from './fact';
import type { FactTable } from './fact-table';
import { readLevels } from './level-facts';

/** Called after an endpoint changes; `state` is undefined if it was removed. */
export type EndpointListener = (id: string, state: EndpointState | undefined) => void;

export interface EndpointDirectoryOptions {
  readonly table: FactTable;
  readonly domain: string;
  /** Test option: lets later reports override leaving marks. */
  readonly trustsLateReports?: boolean;
}

const add = (index: Map<string, Set<string>>, key: string, id: string): void => {
  const ids = index.get(key) ?? new Set();
  index.set(key, ids.add(id));
};

const remove = (index: Map<string, Set<string>>, key: string, id: string): void => {
  const ids = index.get(key);
  ids?.delete(id);
  if (ids?.size === 0) index.delete(key);
};

/** Index of the endpoints of the local domain, built from the facts that their watchers publish. */
export class EndpointDirectory implements DomainView {
  private readonly bases = new Map<string, EndpointBase>();

  private readonly items = new Map<string, BootList<StateItem>>();

  private readonly cached = new Map<string, BootList<CachedItem>>();

  /** Load levels by hash of the watcher's name, then by hash of the endpoint's name. */
  private readonly levels = new Map<number, ReadonlyMap<number, number>>();

  private readonly leavingIncarnations = new Map<string, number>();

  private readonly drained = new Set<string>();

  private readonly states = new Map<string, EndpointState>();

  private readonly byItem = new Map<string, Set<string>>();

  private readonly byPool = new Map<string, Set<string>>();

  private readonly listeners: EndpointListener[] = [];

  private constructor(private readonly options: EndpointDirectoryOptions) {}

  static create(options: EndpointDirectoryOptions): EndpointDirectory {
    const directory = new EndpointDirectory(options);
    const subscribe = (prefix: string, apply: (id: string, fact: Fact) => void) => {
      const accept = (fact: Fact) => {
        const id = fact.key.slice(prefix.length);
        apply(id, fact);
        directory.refresh(id);
      };
      options.table.withPrefix(prefix).forEach(accept);
      options.table.subscribe(prefix, accept);
    };
    subscribe(FactPrefix.endpoint, (id, fact) => directory.applyBase(id, fact));
    subscribe(FactPrefix.items, (id, fact) => {
      const list = readItems(fact);
      if (list !== undefined) directory.items.set(id, list);
    });
    subscribe(FactPrefix.cached, (id, fact) => {
      const list = readCached(fact);
      if (list !== undefined) directory.cached.set(id, list);
    });
    subscribe(FactPrefix.leaving, (id, fact) => {
      directory.leavingIncarnations.set(id, fact.rank[0]);
    });
    subscribe(FactPrefix.drain, (id, fact) => {
      if (fact.value === true) directory.drained.add(id);
      else directory.drained.delete(id);
    });
    subscribe(FactPrefix.levels, (watcher, fact) => directory.applyLevels(watcher, fact));
    return directory;
  }

  endpoint(id: string): EndpointState | undefined {
    return this.states.get(id);
  }

  endpoints(): readonly EndpointState[] {
    return [...this.states.values()];
  }

  replicas(item: string): readonly EndpointState[] {
    return this.statesOf(this.byItem.get(item)).filter((state) => this.isUsable(state));
  }

  pool(name: string): readonly EndpointState[] {
    return this.statesOf(this.byPool.get(name)).filter((state) => this.isUsable(state));
  }

  /** Items that are ready on at least one usable endpoint. */
  warmItems(): readonly string[] {
    return [...this.byItem.keys()].filter((item) => this.replicas(item).length > 0);
  }

  /** False if the endpoint does not answer its watcher or is unknown. */
  isReachable(id: string): boolean {
    return this.bases.get(id)?.reachable === true;
  }

  isDrained(id: string): boolean {
    return this.drained.has(id);
  }

  /** Calls `listener` after each change of an endpoint, except changes of its load level. */
  onChange(listener: EndpointListener): void {
    this.listeners.push(listener);
  }

  private statesOf(ids: ReadonlySet<string> | undefined): EndpointState[] {
    return [...(ids ?? [])].flatMap((id) => this.states.get(id) ?? []);
  }

  private isUsable(state: EndpointState): boolean {
    return state.state === HostState.live && this.isReachable(state.host.name);
  }

  private applyBase(id: string, fact: Fact): void {
    const base = readBase(fact, this.options.domain);
    if (base !== undefined) {
      this.bases.set(id, base);
    } else if (fact.value === null) {
      this.bases.delete(id);
      this.items.delete(id);
      this.cached.delete(id);
    }
  }

  private applyLevels(watcher: string, fact: Fact): void {
    const hash = hash32(watcher);
    const levels = readLevels(fact);
    this.levels.set(hash, levels);
    this.states.forEach((state, id) => {
      const level = this.levelOf(id, hash);
      if (this.bases.get(id)?.watcher !== hash || level === state.level) return;
      this.states.set(id, { ...state, level });
    });
  }

  private levelOf(id: string, watcher: number): number {
    return this.levels.get(watcher)?.get(hash32(id)) ?? 0;
  }

  private refresh(id: string): void {
    const previous = this.states.get(id);
    const next = this.compose(id);
    if (previous === undefined && next === undefined) return;
    previous?.items.forEach(({ item }) => remove(this.byItem, item, id));
    if (previous !== undefined) remove(this.byPool, previous.host.pool, id);
    if (next === undefined) {
      this.states.delete(id);
    } else {
      this.states.set(id, next);
      add(this.byPool, next.host.pool, id);
      next.items
        .filter(({ state }) => state === 'ready')
        .forEach(({ item }) => add(this.byItem, item, id));
    }
    this.listeners.forEach((listener) => listener(id, next));
  }

  private compose(id: string): EndpointState | undefined {
    const base = this.bases.get(id);
    if (base === undefined) return undefined;
    const ofBoot = <T>(list: BootList<T> | undefined) =>
      list?.bootId === base.bootId ? list : undefined;
    const items = ofBoot(this.items.get(id));
    const cached = ofBoot(this.cached.get(id));
    return {
      host: base.host,
      bootId: base.bootId,
      sequence: Math.max(base.sequence, items?.sequence ?? 0, cached?.sequence ?? 0),
      state: this.isLeaving(id, base) ? HostState.leaving : HostState.live,
      memoryBytes: base.memoryBytes,
      items: items?.values ?? [],
      cached: cached?.values ?? [],
      slots: base.slots,
      level: this.levelOf(id, base.watcher),
      ...(base.requestLimitPerS !== undefined && { requestLimitPerS: base.requestLimitPerS }),
      ...(base.softwareVersion !== undefined && { softwareVersion: base.softwareVersion }),
    };
  }

  /** A leaving mark applies to its incarnation and all earlier ones, regardless of reports. */
  private isLeaving(id: string, base: EndpointBase): boolean {
    const reported = base.state === HostState.leaving || base.host.state === HostState.leaving;
    if (this.options.trustsLateReports === true) return reported;
    const marked = (this.leavingIncarnations.get(id) ?? -1) >= base.host.incarnation;
    return reported || marked || this.drained.has(id);
  }
}
