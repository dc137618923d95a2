import type { Clock, Lease } from '@currantdrift/core';

interface HeldLease {
  readonly ttlMs: number;
  readonly endsAt: number;
}

/** The leases of a store at one time. */
export interface LeaseCopy {
  readonly leases: readonly (readonly [string, HeldLease])[];
  readonly granted: number;
}

/** Leases of a store in memory, and when each ends. */
export class LeaseTable {
  private readonly leases = new Map<string, HeldLease>();

  private granted = 0;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): LeaseTable {
    return new LeaseTable(clock);
  }

  grant(ttlMs: number): Lease {
    this.granted += 1;
    return this.hold(`lease-${this.granted}`, ttlMs);
  }

  /** Undefined if the lease has ended. */
  renew(id: string): Lease | undefined {
    const lease = this.leases.get(id);
    return lease === undefined ? undefined : this.hold(id, lease.ttlMs);
  }

  has(id: string): boolean {
    return this.leases.has(id);
  }

  ids(): string[] {
    return [...this.leases.keys()];
  }

  remove(id: string): void {
    this.leases.delete(id);
  }

  /** Leases whose time has passed and that were not removed. */
  ended(): string[] {
    const now = this.clock.now();
    return this.ids().filter((id) => (this.leases.get(id)?.endsAt ?? now) <= now);
  }

  /** Gives all leases more time, in ms, as when they pause while the store is away. */
  extend(ms: number): void {
    this.leases.forEach(({ ttlMs, endsAt }, id) =>
      this.leases.set(id, { ttlMs, endsAt: endsAt + ms }),
    );
  }

  /** The leases now; those that are granted later are not in it. */
  copy(): LeaseCopy {
    return { leases: [...this.leases], granted: this.granted };
  }

  /** Goes back to a copy: later leases are gone, and their ids are given out again. */
  restore({ leases, granted }: LeaseCopy): void {
    this.leases.clear();
    const now = this.clock.now();
    leases.forEach(([id, { ttlMs }]) => this.leases.set(id, { ttlMs, endsAt: now + ttlMs }));
    this.granted = granted;
  }

  private hold(id: string, ttlMs: number): Lease {
    this.leases.set(id, { ttlMs, endsAt: this.clock.now() + ttlMs });
    return { id, ttlMs };
  }
}
