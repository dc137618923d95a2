import type { Entry, Lease, Swap } from '@currantdrift/core';

interface HeldLease {
  readonly ttlMs: number;
  readonly endsAt: number;
}

/** Keys, leases and waiting watches of the store. */
export class StoreState {
  private readonly entries = new Map<string, { entry: Entry; leaseId: string | undefined }>();

  private readonly leases = new Map<string, HeldLease>();

  private readonly watches = new Map<string, Set<() => void>>();

  private revision = 0;

  private leaseCount = 0;

  private constructor() {}

  static create(): StoreState {
    return new StoreState();
  }

  read(key: string): Entry | undefined {
    this.expireLeases(Date.now());
    return this.entries.get(key)?.entry;
  }

  list(prefix: string): { key: string; revision: number }[] {
    this.expireLeases(Date.now());
    return [...this.entries.values()]
      .filter(({ entry }) => entry.key.startsWith(prefix))
      .map(({ entry }) => ({ key: entry.key, revision: entry.revision }))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  swap(key: string, revision: number, value: Uint8Array | undefined, leaseId?: string): Swap {
    const current = this.read(key);
    if ((current?.revision ?? 0) !== revision) return { kind: 'conflict', current };
    this.revision += 1;
    if (value === undefined) this.entries.delete(key);
    else this.entries.set(key, { entry: { key, value, revision: this.revision }, leaseId });
    this.wake(key);
    return { kind: 'swapped', revision: this.revision };
  }

  /** Resolves when the revision of `key` differs, after `waitMs`, or when `signal` aborts. */
  async watch(
    key: string,
    revision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Entry | undefined> {
    const end = Date.now() + waitMs;
    for (;;) {
      const entry = this.read(key);
      const left = end - Date.now();
      if ((entry?.revision ?? 0) !== revision || left <= 0 || signal.aborted) return entry;
      await this.changed(key, left, signal);
    }
  }

  grant(ttlMs: number, now: number): Lease {
    this.leaseCount += 1;
    const id = `lease-${this.leaseCount}`;
    this.leases.set(id, { ttlMs, endsAt: now + ttlMs });
    return { id, ttlMs };
  }

  /** Undefined if the lease has ended. */
  renew(id: string, now: number): Lease | undefined {
    this.expireLeases(now);
    const lease = this.leases.get(id);
    if (lease === undefined) return undefined;
    this.leases.set(id, { ttlMs: lease.ttlMs, endsAt: now + lease.ttlMs });
    return { id, ttlMs: lease.ttlMs };
  }

  /** Ends the lease and deletes the keys written under it. */
  revoke(id: string): void {
    if (!this.leases.delete(id)) return;
    [...this.entries.values()]
      .filter(({ leaseId }) => leaseId === id)
      .forEach(({ entry }) => {
        this.entries.delete(entry.key);
        this.wake(entry.key);
      });
  }

  hasLease(id: string): boolean {
    this.expireLeases(Date.now());
    return this.leases.has(id);
  }

  expireLeases(now: number): void {
    [...this.leases].filter(([, lease]) => lease.endsAt <= now).forEach(([id]) => this.revoke(id));
  }

  private changed(key: string, waitMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const waiting = this.watches.get(key) ?? new Set();
      let timer: NodeJS.Timeout | undefined;
      const finish = () => {
        clearTimeout(timer);
        waiting.delete(finish);
        if (waiting.size === 0) this.watches.delete(key);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      timer = setTimeout(finish, waitMs);
      waiting.add(finish);
      this.watches.set(key, waiting);
      signal.addEventListener('abort', finish, { once: true });
    });
  }

  private wake(key: string): void {
    [...(this.watches.get(key) ?? [])].forEach((finish) => finish());
  }
}
