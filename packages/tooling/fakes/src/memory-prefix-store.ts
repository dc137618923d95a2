import type { Change, Clock, Entry, Lease } from '@currantdrift/core';
import { type LeaseCopy, LeaseTable } from './lease-table';

/** The contents of a store at one time. */
export interface StoreCopy {
  readonly entries: readonly (readonly [
    string,
    { readonly entry: Entry; readonly lease: string | undefined },
  ])[];
  readonly leases: LeaseCopy;
  readonly revision: number;
}

/** Entries, leases and history that the handles of a prefix store share. */
export class MemoryPrefixStore {
  private readonly entries = new Map<string, { entry: Entry; lease: string | undefined }>();

  private readonly leases: LeaseTable;

  private history: { readonly revision: number; readonly change: Change }[] = [];

  private forgotten = 0;

  private count = 0;

  private restores = 0;

  private constructor(clock: Clock) {
    this.leases = LeaseTable.create(clock);
  }

  static create(clock: Clock): MemoryPrefixStore {
    return new MemoryPrefixStore(clock);
  }

  /** Number of times that it has come back from a copy. */
  get era(): number {
    return this.restores;
  }

  get revision(): number {
    return this.count;
  }

  copy(): StoreCopy {
    return { entries: [...this.entries], leases: this.leases.copy(), revision: this.count };
  }

  /** Goes back to a copy, whose history is not known; revisions are given out again. */
  restore({ entries, leases, revision }: StoreCopy): void {
    this.entries.clear();
    entries.forEach(([key, stored]) => this.entries.set(key, stored));
    this.leases.restore(leases);
    this.count = revision;
    this.restores += 1;
    this.compact();
  }

  /** Forgets all changes so far. */
  compact(): void {
    this.history = [];
    this.forgotten = this.count;
  }

  /** Writes as the operator or an endpoint does; an undefined value removes the key. */
  write(key: string, value: Uint8Array | undefined, lease?: string): number {
    this.count += 1;
    const revision = this.count;
    if (value === undefined) {
      this.entries.delete(key);
      this.history.push({ revision, change: { kind: 'removed', key, revision } });
    } else {
      const entry = { key, value, revision };
      this.entries.set(key, { entry, lease });
      this.history.push({ revision, change: { kind: 'put', entry } });
    }
    return revision;
  }

  read(key: string): Entry | undefined {
    this.expire();
    return this.entries.get(key)?.entry;
  }

  below(prefix: string): Entry[] {
    this.expire();
    return [...this.entries.values()]
      .map(({ entry }) => entry)
      .filter(({ key }) => key.startsWith(prefix));
  }

  /** Changes below a prefix after a revision; undefined if some are forgotten. */
  since(prefix: string, revision: number): Change[] | undefined {
    this.expire();
    if (revision < this.forgotten) return undefined;
    const keyOf = (change: Change) => (change.kind === 'put' ? change.entry.key : change.key);
    return this.history
      .filter((one) => one.revision > revision && keyOf(one.change).startsWith(prefix))
      .map(({ change }) => change);
  }

  grant(ttlMs: number): Lease {
    return this.leases.grant(ttlMs);
  }

  /** Undefined if the lease has ended. */
  renew(id: string): Lease | undefined {
    this.expire();
    return this.leases.renew(id);
  }

  hasLease(id: string): boolean {
    this.expire();
    return this.leases.has(id);
  }

  /** Ends a lease, as its holder does, or as the store does when it turns the holder away. */
  revoke(id: string): void {
    this.leases.remove(id);
    [...this.entries.entries()]
      .filter(([, stored]) => stored.lease === id)
      .forEach(([key]) => this.write(key, undefined));
  }

  /** Gives all leases more time, as when they pause while the store is away. */
  extendLeases(ms: number): void {
    this.leases.extend(ms);
  }

  /** Ends all leases at once. */
  revokeAll(): void {
    this.leases.ids().forEach((id) => this.revoke(id));
  }

  private expire(): void {
    this.leases.ended().forEach((id) => this.revoke(id));
  }
}
