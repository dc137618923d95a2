import {
  type Clock,
  decodeLease,
  encodeLease,
  type Entry,
  type Lease,
  revisionInEra,
  type SwapResult,
} from '@currantdrift/core';
import { type LeaseCopy, LeaseTable } from './lease-table';

/** An entry with its revision and lease as the store gave them out, without the era. */
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
 * Revisions and leases in its calls are combined with the era.
 */
export class MemoryStore {
  private readonly entries = new Map<string, Stored>();

  private readonly leases: LeaseTable;

  private revision = 0;

  private restores = 0;

  private waiting = new Set<() => void>();

  /** Number of calls by kind, as the platform counts them. */
  readonly calls = new Map<string, number>();

  private constructor(clock: Clock) {
    this.leases = LeaseTable.create(clock);
  }

  static create(clock: Clock): MemoryStore {
    return new MemoryStore(clock);
  }

  /** Number of times that it has come back from a copy. */
  get era(): number {
    return this.restores;
  }

  /** Counts a call of a client. */
  countCall(call: string): void {
    this.calls.set(call, (this.calls.get(call) ?? 0) + 1);
  }

  copy(): MemoryStoreCopy {
    return { entries: [...this.entries], leases: this.leases.copy(), revision: this.revision };
  }

  /** Goes back to a copy; revisions and leases are given out again, in the next era. */
  restore({ entries, leases, revision }: MemoryStoreCopy): void {
    this.entries.clear();
    entries.forEach(([key, stored]) => this.entries.set(key, stored));
    this.leases.restore(leases);
    this.revision = revision;
    this.restores += 1;
    this.wakeWatchers();
  }

  read(key: string): Entry | undefined {
    this.expireLeases();
    const stored = this.entries.get(key);
    return stored && { ...stored.entry, revision: this.inEra(stored.entry.revision) };
  }

  keys(prefix: string): { key: string; revision: number }[] {
    this.expireLeases();
    return [...this.entries.values()]
      .filter(({ entry }) => entry.key.startsWith(prefix))
      .map(({ entry }) => ({ key: entry.key, revision: this.inEra(entry.revision) }))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  swap(key: string, revision: number, value: Uint8Array | undefined, leaseId?: string): SwapResult {
    const current = this.read(key);
    if ((current?.revision ?? 0) !== revision) return { kind: 'conflict', current };
    this.revision += 1;
    const lease = leaseId === undefined ? undefined : decodeLease(leaseId).id;
    if (value === undefined) this.entries.delete(key);
    else this.entries.set(key, { entry: { key, value, revision: this.revision }, leaseId: lease });
    this.wakeWatchers();
    return { kind: 'swapped', revision: this.inEra(this.revision) };
  }

  grant(ttlMs: number): Lease {
    return this.leaseInEra(this.leases.grant(ttlMs));
  }

  /** Undefined if the lease has ended. */
  renew(id: string): Lease | undefined {
    this.expireLeases();
    const { era, id: granted } = decodeLease(id);
    const lease = era === this.era ? this.leases.renew(granted) : undefined;
    return lease && this.leaseInEra(lease);
  }

  revoke(id: string): void {
    const { era, id: granted } = decodeLease(id);
    if (era === this.era) this.end(granted);
  }

  hasLease(id: string): boolean {
    this.expireLeases();
    const { era, id: granted } = decodeLease(id);
    return era === this.era && this.leases.has(granted);
  }

  /** Resolves at the next change of any key. */
  changed(): Promise<void> {
    return new Promise((resolve) => {
      this.waiting.add(resolve);
    });
  }

  /** Ends the leases whose time has passed, with their keys. */
  expireLeases(): void {
    this.leases.ended().forEach((id) => this.end(id));
  }

  private end(lease: string): void {
    this.leases.remove(lease);
    [...this.entries.values()]
      .filter((stored) => stored.leaseId === lease)
      .forEach((stored) => this.entries.delete(stored.entry.key));
    this.wakeWatchers();
  }

  private inEra(revision: number): number {
    return revisionInEra(this.era, revision);
  }

  private leaseInEra({ id, ttlMs }: Lease): Lease {
    return { id: encodeLease({ era: this.era, id }), ttlMs };
  }

  private wakeWatchers(): void {
    const { waiting } = this;
    this.waiting = new Set();
    waiting.forEach((resolve) => resolve());
  }
}
