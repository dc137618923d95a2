import type { Clock, Entry, Lease, SwapResult } from '@currantdrift/core';
import { type LeaseCopy, LeaseTable } from './lease-table';

interface Stored {
  readonly entry: Entry;
  readonly leaseId: string | undefined;
}

/** The contents of a `MemoryStore` at one time. */
export interface MemoryStoreCopy {
  readonly entries: readonly (readonly [string, Stored])[];
  readonly leases: LeaseCopy;
  readonly revision: number;
}

/**
 * The platform's store in memory. Values, revisions and leases are shared by its
 * `StoreHandle`s; each handle has faults of its own, so that one client can be cut off.
 */
export class MemoryStore {
  private readonly entries = new Map<string, Stored>();

  private readonly leases: LeaseTable;

  private revision = 0;

  private waiting = new Set<() => void>();

  /** Number of calls by kind, as the platform counts them. */
  readonly calls = new Map<string, number>();

  private constructor(clock: Clock) {
    this.leases = LeaseTable.create(clock);
  }

  static create(clock: Clock): MemoryStore {
    return new MemoryStore(clock);
  }

  /** Counts a call of a client. */
  countCall(call: string): void {
    this.calls.set(call, (this.calls.get(call) ?? 0) + 1);
  }

  copy(): MemoryStoreCopy {
    return { entries: [...this.entries], leases: this.leases.copy(), revision: this.revision };
  }

  /** Goes back to a copy; revisions and leases are given out again. */
  restore({ entries, leases, revision }: MemoryStoreCopy): void {
    this.entries.clear();
    entries.forEach(([key, stored]) => this.entries.set(key, stored));
    this.leases.restore(leases);
    this.revision = revision;
    this.wakeWatchers();
  }

  read(key: string): Entry | undefined {
    this.expireLeases();
    return this.entries.get(key)?.entry;
  }

  keys(prefix: string): { key: string; revision: number }[] {
    this.expireLeases();
    return [...this.entries.values()]
      .filter(({ entry }) => entry.key.startsWith(prefix))
      .map(({ entry }) => ({ key: entry.key, revision: entry.revision }))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  swap(key: string, revision: number, value: Uint8Array | undefined, leaseId?: string): SwapResult {
    const current = this.read(key);
    if ((current?.revision ?? 0) !== revision) return { kind: 'conflict', current };
    this.revision += 1;
    if (value === undefined) this.entries.delete(key);
    else this.entries.set(key, { entry: { key, value, revision: this.revision }, leaseId });
    this.wakeWatchers();
    return { kind: 'swapped', revision: this.revision };
  }

  grant(ttlMs: number): Lease {
    return this.leases.grant(ttlMs);
  }

  /** Undefined if the lease has ended. */
  renew(id: string): Lease | undefined {
    this.expireLeases();
    return this.leases.renew(id);
  }

  revoke(id: string): void {
    this.leases.remove(id);
    [...this.entries.values()]
      .filter((stored) => stored.leaseId === id)
      .forEach((stored) => this.entries.delete(stored.entry.key));
    this.wakeWatchers();
  }

  hasLease(id: string): boolean {
    this.expireLeases();
    return this.leases.has(id);
  }

  /** Resolves at the next change of any key. */
  changed(): Promise<void> {
    return new Promise((resolve) => {
      this.waiting.add(resolve);
    });
  }

  /** Ends the leases whose time has passed, with their keys. */
  expireLeases(): void {
    this.leases.ended().forEach((id) => this.revoke(id));
  }

  private wakeWatchers(): void {
    const { waiting } = this;
    this.waiting = new Set();
    waiting.forEach((resolve) => resolve());
  }
}
