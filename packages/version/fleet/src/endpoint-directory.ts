import { HostState } from '@currantdrift/core';
import { EndpointLimits } from './endpoint-limits';
import type { EndpointRecord, LoadedModel } from './endpoint-record';
import type { Inventory } from './inventory';

/** Time for which the controller's inventory overrides an endpoint's own record, in ms. */
const inventoryLifetimeMs = 6_000;

/** Maximum number of endpoint starts that are remembered as leaving. */
const maxLeaving = 10_000;

/** Maximum number of endpoints whose pauses are remembered. */
const maxPauses = 10_000;

/** Maximum number of cached results of `replicas`; clients choose the names of models. */
const maxReplicaSets = 1_000;

interface KnownEndpoint {
  readonly record: EndpointRecord;
  readonly inventory?: Inventory;
  readonly inventoryAt: number;
}

/** Endpoints that hold a model, and the times between which this holds without a change. */
interface ReplicaSet {
  readonly records: readonly EndpointRecord[];
  readonly from: number;
  readonly until: number;
}

/** A pause that an endpoint asked this process for. */
interface Pause {
  readonly bornAt: number;
  readonly until: number;
}

/** The endpoints known to this process, with the models that they have loaded. */
export class EndpointDirectory {
  /** The request limits that the endpoints state. */
  readonly limits = EndpointLimits.create(() => this.notify());

  private readonly endpoints = new Map<string, KnownEndpoint>();

  /** Start time (`bornAt`) by id of the endpoints that announced that they are leaving. */
  private readonly leaving = new Map<string, number>();

  /** Kept apart from the endpoints, since a record may lapse and come back during a pause. */
  private readonly pauses = new Map<string, Pause>();

  private readonly listeners = new Set<() => void>();

  /** Results of `replicas` until the next change, since each attempt of a waiting request needs them. */
  private readonly replicaCache = new Map<string, ReplicaSet>();

  private constructor() {}

  static create(): EndpointDirectory {
    return new EndpointDirectory();
  }

  /** Stores an endpoint's record. Its inventory is kept if it has not restarted since. */
  put(record: EndpointRecord): void {
    const before = this.endpoints.get(record.id);
    const same = before?.record.bornAt === record.bornAt ? before : undefined;
    this.endpoints.set(record.id, {
      record: this.withLeavingState(record),
      inventory: same?.inventory,
      inventoryAt: same?.inventoryAt ?? -Infinity,
    });
    this.notify();
  }

  /**
   * Marks an endpoint that announced that it is leaving; false if it was already marked. The mark
   * stays until the endpoint restarts and overrides its record, because records lag behind and no
   * message revokes the announcement.
   */
  markLeaving(id: string, bornAt: number): boolean {
    if (this.leaving.get(id) === bornAt) return false;
    this.leaving.set(id, bornAt);
    if (this.leaving.size > maxLeaving) this.leaving.delete([...this.leaving.keys()][0]);
    const known = this.endpoints.get(id);
    if (known === undefined) return true;
    this.endpoints.set(id, { ...known, record: this.withLeavingState(known.record) });
    this.notify();
    return true;
  }

  /** Whether this start of an endpoint has announced that it is leaving. */
  isLeaving(id: string, bornAt: number): boolean {
    return this.leaving.get(id) === bornAt;
  }

  /** Records that the endpoint accepts nothing from this process until `until` or its restart. */
  pause(id: string, bornAt: number, until: number): void {
    const known = this.endpoints.get(id);
    if (known !== undefined && known.record.bornAt !== bornAt) return;
    const before = this.pauses.get(id);
    const pausedUntil = before?.bornAt === bornAt ? before.until : -Infinity;
    this.pauses.delete(id);
    this.pauses.set(id, { bornAt, until: Math.max(pausedUntil, until) });
    if (this.pauses.size > maxPauses) this.pauses.delete([...this.pauses.keys()][0]);
    this.notify();
  }

  /** Time until which the endpoint accepts nothing from this process; -Infinity if never paused. */
  pausedUntil(id: string): number {
    const pause = this.pauses.get(id);
    const bornAt = this.endpoints.get(id)?.record.bornAt;
    return pause !== undefined && pause.bornAt === bornAt ? pause.until : -Infinity;
  }

  remove(id: string): void {
    if (this.endpoints.delete(id)) this.notify();
  }

  /** Stores the controller's inventories. Those of unknown or restarted engines are ignored. */
  applyInventories(inventories: readonly Inventory[], now: number): void {
    inventories.forEach((inventory) => {
      const known = this.endpoints.get(inventory.endpoint);
      if (known === undefined || known.record.bornAt !== inventory.bornAt) return;
      this.endpoints.set(inventory.endpoint, { ...known, inventory, inventoryAt: now });
    });
    this.notify();
  }

  /** Removes a model, or one of its adapters, that the endpoint refused because it is not loaded. */
  removeModel(id: string, model: string, adapter: string | undefined, now: number): void {
    const known = this.endpoints.get(id);
    if (known === undefined) return;
    const models = this.models(id, now).flatMap((held) => {
      if (held.name !== model) return [held];
      const adapters = held.adapters.filter((name) => name !== adapter);
      return adapter === undefined ? [] : [{ name: model, adapters }];
    });
    const { record } = known;
    const inventory = { endpoint: id, bornAt: record.bornAt, models };
    this.endpoints.set(id, { ...known, inventory, inventoryAt: now });
    this.replicaCache.clear();
  }

  get(id: string): EndpointRecord | undefined {
    return this.endpoints.get(id)?.record;
  }

  all(): EndpointRecord[] {
    return [...this.endpoints.values()].map(({ record }) => record);
  }

  /** Endpoints of a service that are live, not leaving. */
  live(service: string): EndpointRecord[] {
    return this.all().filter(
      (record) => record.service === service && record.state === HostState.live,
    );
  }

  /**
   * Models that an endpoint serves, with their adapters: from the controller's inventory while it is
   * recent, otherwise from the endpoint's record.
   */
  models(id: string, now: number): readonly LoadedModel[] {
    const known = this.endpoints.get(id);
    if (known === undefined) return [];
    const fresh = now - known.inventoryAt < inventoryLifetimeMs;
    if (known.inventory !== undefined && fresh) return known.inventory.models;
    return known.record.models ?? [];
  }

  /** Age of the controller's inventory of an endpoint, in ms; undefined without one. */
  inventoryAge(id: string, now: number): number | undefined {
    const known = this.endpoints.get(id);
    return known?.inventory === undefined ? undefined : now - known.inventoryAt;
  }

  /** Live endpoints that have the model loaded, and the adapter if one is given. */
  replicas(
    service: string,
    model: string,
    adapter: string | undefined,
    now: number,
  ): readonly EndpointRecord[] {
    const holds = ({ name, adapters }: LoadedModel) =>
      name === model && (adapter === undefined || adapters.includes(adapter));
    const key = JSON.stringify([service, model, adapter]);
    const cached = this.replicaCache.get(key);
    if (cached !== undefined && now >= cached.from && now < cached.until) return cached.records;
    const records = this.live(service).filter(({ id }) => this.models(id, now).some(holds));
    if (this.replicaCache.size >= maxReplicaSets) this.replicaCache.clear();
    this.replicaCache.set(key, { records, from: now, until: this.nextExpiry(now) });
    return records;
  }

  /** Time at which the first of the inventories in use lapses. */
  private nextExpiry(now: number): number {
    const ends = [...this.endpoints.values()].map(({ inventoryAt }) => inventoryAt);
    return Math.min(
      Infinity,
      ...ends.map((at) => at + inventoryLifetimeMs).filter((at) => at > now),
    );
  }

  /** Calls `listener` after each change; returns a function that unsubscribes it. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private withLeavingState(record: EndpointRecord): EndpointRecord {
    return this.isLeaving(record.id, record.bornAt)
      ? { ...record, state: HostState.leaving }
      : record;
  }

  private notify(): void {
    this.replicaCache.clear();
    [...this.listeners].forEach((listener) => listener());
  }
}
