import {
  type Adapter,
  type Bundle,
  type Caller,
  isAdapter,
  type Item,
  itemKey,
  type Model,
  modelOf,
  type Service,
} from '@currantdrift/core';
import type { Signatures, SignedBundle } from './signature';
import { findByName, lowerBound } from './sorted-list';

/**
 * A version with the lookups that requests need. Only the callers' keys are indexed. The other lists
 * are sorted and use binary search, so that 26,000 adapters need no index and no time when a version
 * comes into force.
 */
export class PreparedBundle {
  private readonly callersByKeyHash: ReadonlyMap<string, Caller>;

  private constructor(
    readonly bundle: Bundle,
    readonly digest: string,
    readonly signatures: Signatures,
  ) {
    this.callersByKeyHash = new Map(
      bundle.callers.flatMap((caller) => caller.keyHashes.map((hash) => [hash, caller])),
    );
  }

  /** `signed` must have been verified and have the digest `digest`. */
  static create(signed: SignedBundle, digest: string): PreparedBundle {
    const { bundle, proposal, signOff } = signed;
    return new PreparedBundle(bundle, digest, { proposal, signOff });
  }

  get version(): number {
    return this.bundle.version;
  }

  /** The caller with an API key; `hash` is its lower-case hexadecimal SHA-256. */
  callerByKeyHash(hash: string): Caller | undefined {
    return this.callersByKeyHash.get(hash);
  }

  caller(name: string): Caller | undefined {
    return findByName(this.bundle.callers, name);
  }

  model(name: string): Model | undefined {
    return findByName(this.bundle.models, name);
  }

  adapter(name: string): Adapter | undefined {
    return findByName(this.bundle.adapters, name);
  }

  service(name: string): Service | undefined {
    return findByName(this.bundle.services, name);
  }

  /** The model or adapter with a name. */
  item(name: string): Model | Adapter | undefined {
    return isAdapter(name) ? this.adapter(name) : this.model(name);
  }

  /** Key with the version in force, `quote-7@3`; undefined if the bundle has no such item. */
  itemKey(name: string): string | undefined {
    const item: Item | undefined = this.item(name);
    return item === undefined ? undefined : itemKey(item);
  }

  /** Adapters of a model. */
  adaptersOf(model: string): readonly Adapter[] {
    const { adapters } = this.bundle;
    // ";" is the code unit after ":", so it is the upper bound of names that start with `model:`.
    return adapters.slice(lowerBound(adapters, `${model}:`), lowerBound(adapters, `${model};`));
  }

  /** Whether a caller may use an item of the bundle. */
  canAccess(caller: Caller, name: string): boolean {
    if (this.item(name) === undefined) return false;
    return (
      caller.items.includes(name) ||
      (isAdapter(name) && caller.items.includes(`${modelOf(name)}:*`))
    );
  }

  /** Names of the items that a caller may use, without duplicates. */
  accessibleItems(caller: Caller): readonly string[] {
    const names = caller.items.flatMap((item) =>
      item.endsWith(':*') ? this.adaptersOf(modelOf(item)).map(({ name }) => name) : [item],
    );
    return [...new Set(names)].filter((name) => this.item(name) !== undefined);
  }

  canAccessService(caller: Caller, name: string): boolean {
    return this.service(name) !== undefined && caller.services.includes(name);
  }
}
