import { type Bundle, isAdapter, itemKey, modelOf, parseItemKey } from '@currantdrift/core';
import { allotment } from './allotment';
import { itemNameOf } from './intent';
import { allotmentWithLoans } from './loan';
import type { DomainRecord } from './record';

/** A model or adapter of the accepted bundle. */
export interface CatalogueItem {
  /** Item key, with the version in the bundle. */
  readonly key: string;
  readonly name: string;
  readonly bytes: number;
  /** Largest number of replicas over all domains. */
  readonly limit: number;
  readonly pool: string;
  /** Key of the model that an adapter belongs to. */
  readonly model?: string;
}

/** Models and adapters of a bundle, indexed by name. */
export class Catalogue {
  private readonly items = new Map<string, CatalogueItem>();

  private constructor(readonly bundle: Bundle) {
    bundle.models.forEach((model) =>
      this.items.set(model.name, {
        key: itemKey(model),
        name: model.name,
        bytes: model.bytes,
        limit: model.replicas,
        pool: model.pool,
      }),
    );
    bundle.adapters.forEach((adapter) => {
      const model = this.items.get(modelOf(adapter.name));
      if (model === undefined || !isAdapter(adapter.name)) return;
      this.items.set(adapter.name, {
        key: itemKey(adapter),
        name: adapter.name,
        bytes: adapter.bytes,
        limit: adapter.replicas,
        pool: model.pool,
        model: model.key,
      });
    });
  }

  static create(bundle: Bundle): Catalogue {
    return new Catalogue(bundle);
  }

  get(name: string): CatalogueItem | undefined {
    return this.items.get(name);
  }

  /** Finds an item by key or by name; undefined if the bundle has no such item or version. */
  find(item: string): CatalogueItem | undefined {
    const listed = this.items.get(itemNameOf(item));
    return parseItemKey(item) === undefined || listed?.key === item ? listed : undefined;
  }

  all(): readonly CatalogueItem[] {
    return [...this.items.values()];
  }

  /** Replicas of an item that `domain` may hold, including loans; 0 for an unknown item. */
  allotted(name: string, domain: string, record: DomainRecord): number {
    const listed = this.items.get(name);
    if (listed === undefined) return 0;
    const own = allotment(name, listed.limit, domain, this.bundle.domains);
    return allotmentWithLoans(own, name, listed.limit, domain, record.loans);
  }
}
