import { HostState } from '@currantdrift/core';
import type { EndpointRecord, LoadedModel } from './endpoint-record';
import type { Inventory } from './inventory';

/** Time for which the controller's inventory goes before an endpoint's own record, in ms. */
const inventoryLifetimeMs = 6_000;

/** Most starts of endpoints for which the word that they leave is kept. */
const maxLeaving = 10_000;

interface Known {
  readonly record: EndpointRecord;
  readonly inventory?: Inventory;
  readonly inventoryAt: number;
  /** Time up to which the endpoint wants nothing from this process. */
  readonly pausedUntil: number;
}

/** Endpoints as this process knows them. */
export class EndpointDirectory {
  private readonly known = new Map<string, Known>();

  /** Starts of the endpoints that said themselves that they leave. */
  private readonly leaving = new Map<string, number>();

  private readonly listeners = new Set<() => void>();

  private constructor() {}

  static create(): EndpointDirectory {
    return new EndpointDirectory();
  }

  /** Takes an endpoint's record; what else is known of the same start is kept. */
  put(record: EndpointRecord): void {
    const before = this.known.get(record.id);
    const same = before?.record.bornAt === record.bornAt ? before : undefined;
    this.known.set(record.id, {
      record: this.withOwnWord(record),
      inventory: same?.inventory,
      inventoryAt: same?.inventoryAt ?? -Infinity,
      pausedUntil: same?.pausedUntil ?? -Infinity,
    });
    this.notify();
  }

  /**
   * Takes the endpoint's own word that it leaves; false if it is known. It holds for the rest of that
   * start, also while the record says otherwise: records lag, and no message takes the word back.
   */
  markLeaving(id: string, bornAt: number): boolean {
    if (this.leaving.get(id) === bornAt) return false;
    this.leaving.set(id, bornAt);
    if (this.leaving.size > maxLeaving) this.leaving.delete([...this.leaving.keys()][0]);
    const known = this.known.get(id);
    if (known === undefined) return true;
    this.known.set(id, { ...known, record: this.withOwnWord(known.record) });
    this.notify();
    return true;
  }

  /** States that this start of the endpoint wants nothing from this process until `until`. */
  pause(id: string, bornAt: number, until: number): void {
    const known = this.known.get(id);
    if (known === undefined || known.record.bornAt !== bornAt) return;
    this.known.set(id, { ...known, pausedUntil: Math.max(known.pausedUntil, until) });
    this.notify();
  }

  /** Time up to which the endpoint wants nothing from this process; -Infinity if it never said so. */
  pausedUntil(id: string): number {
    return this.known.get(id)?.pausedUntil ?? -Infinity;
  }

  remove(id: string): void {
    if (this.known.delete(id)) this.notify();
  }

  /** Takes what the controller says of engines. Unknown engines and other starts are ignored. */
  applyInventories(inventories: readonly Inventory[], now: number): void {
    inventories.forEach((inventory) => {
      const known = this.known.get(inventory.endpoint);
      if (known === undefined || known.record.bornAt !== inventory.bornAt) return;
      this.known.set(inventory.endpoint, { ...known, inventory, inventoryAt: now });
    });
    this.notify();
  }

  /** Drops a model, or one of its adapters, that the endpoint refused as not held. */
  removeModel(id: string, model: string, adapter: string | undefined, now: number): void {
    const known = this.known.get(id);
    if (known === undefined) return;
    const models = this.models(id, now).flatMap((held) => {
      if (held.name !== model) return [held];
      const adapters = held.adapters.filter((name) => name !== adapter);
      return adapter === undefined ? [] : [{ name: model, adapters }];
    });
    const { record } = known;
    const inventory = { endpoint: id, bornAt: record.bornAt, models };
    this.known.set(id, { ...known, inventory, inventoryAt: now });
  }

  get(id: string): EndpointRecord | undefined {
    return this.known.get(id)?.record;
  }

  all(): EndpointRecord[] {
    return [...this.known.values()].map(({ record }) => record);
  }

  /** Endpoints of a service that are neither leaving nor gone. */
  live(service: string): EndpointRecord[] {
    return this.all().filter(
      (record) => record.service === service && record.state === HostState.live,
    );
  }

  /** Models that an endpoint serves, with their adapters. */
  models(id: string, now: number): readonly LoadedModel[] {
    const known = this.known.get(id);
    if (known === undefined) return [];
    const fresh = now - known.inventoryAt < inventoryLifetimeMs;
    if (known.inventory !== undefined && fresh) return known.inventory.models;
    return known.record.models ?? [];
  }

  /** Age of the controller's word on what an endpoint holds, in ms; undefined without one. */
  inventoryAge(id: string, now: number): number | undefined {
    const known = this.known.get(id);
    return known?.inventory === undefined ? undefined : now - known.inventoryAt;
  }

  /** Live endpoints that hold the model, and the adapter if one is named. */
  replicas(
    service: string,
    model: string,
    adapter: string | undefined,
    now: number,
  ): EndpointRecord[] {
    const holds = ({ name, adapters }: LoadedModel) =>
      name === model && (adapter === undefined || adapters.includes(adapter));
    return this.live(service).filter(({ id }) => this.models(id, now).some(holds));
  }

  /** Calls `listener` after each change; gives a function that ends this. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private withOwnWord(record: EndpointRecord): EndpointRecord {
    const isLeaving = this.leaving.get(record.id) === record.bornAt;
    return isLeaving ? { ...record, state: HostState.leaving } : record;
  }

  private notify(): void {
    [...this.listeners].forEach((listener) => listener());
  }
}
