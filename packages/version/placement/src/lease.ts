import { type Clock, FailureKind, type Random, type Store } from '@currantdrift/core';

export interface LeaseOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  readonly key: string;
  readonly holder: string;
  readonly leaseMs: number;
  readonly renewMs: number;
}

/** Timeout of one watch on another holder's lease, in ms. */
const watchMs = 5_000;

const retryMs = 1_000;

/**
 * The lease on a domain. It only elects the holder; the compare-and-swap on the domain record is
 * what prevents a former holder from changing it.
 */
export class DomainLease {
  private leaseId: string | undefined;

  private constructor(private readonly options: LeaseOptions) {}

  static create(options: LeaseOptions): DomainLease {
    return new DomainLease(options);
  }

  /** Waits for the lease; false if `signal` aborted first. */
  async acquire(signal: AbortSignal): Promise<boolean> {
    const { store, clock, random, key } = this.options;
    while (!signal.aborted) {
      const entry = await store.get(key);
      if (entry.isErr()) {
        await clock.sleep(retryMs * (0.5 + random.next()), signal);
      } else if (entry.value !== undefined) {
        await store.watch(key, entry.value.revision, watchMs, signal);
        await clock.sleep(random.next() * 200, signal);
      } else if (await this.tryAcquire()) {
        return true;
      } else {
        await clock.sleep(retryMs * (0.5 + random.next()), signal);
      }
    }
    return false;
  }

  /** Renews the lease until `signal` aborts or another holder has it. */
  async renewUntilLost(signal: AbortSignal): Promise<void> {
    const { store, clock, random, renewMs } = this.options;
    while (!signal.aborted) {
      await clock.sleep(renewMs * (0.9 + 0.2 * random.next()), signal);
      if (signal.aborted) return;
      if (this.leaseId === undefined) {
        if ((await this.isHeldByOther()) === true) return;
        await this.tryAcquire();
      } else {
        const renewed = await store.renewLease(this.leaseId);
        if (renewed.isErr() && renewed.error.kind === FailureKind.refused) {
          // A store that is down also refuses; only the lease key shows whether the lease expired.
          const others = await this.isHeldByOther();
          if (others === true) return;
          if (others === false && !(await this.isHeldBySelf())) this.leaseId = undefined;
        }
      }
    }
  }

  async release(): Promise<void> {
    if (this.leaseId === undefined) return;
    await this.options.store.revokeLease(this.leaseId);
    this.leaseId = undefined;
  }

  private async tryAcquire(): Promise<boolean> {
    const { store, key, holder, leaseMs } = this.options;
    const lease = await store.grantLease(leaseMs);
    if (lease.isErr()) return false;
    const value = new TextEncoder().encode(JSON.stringify({ holder, lease: lease.value.id }));
    const swap = await store.compareAndSwap(key, 0, value, lease.value.id);
    this.leaseId = lease.value.id;
    if (swap.isOk() && swap.value.kind === 'swapped') return true;
    if (swap.isErr() && (await this.isHeldBySelf())) return true;
    await store.revokeLease(lease.value.id);
    this.leaseId = undefined;
    return false;
  }

  /** True if another process holds the lease; undefined if the store cannot be read. */
  private async isHeldByOther(): Promise<boolean | undefined> {
    const entry = await this.options.store.get(this.options.key);
    if (entry.isErr()) return undefined;
    return entry.value !== undefined && !this.namesOwnLease(entry.value.value);
  }

  private async isHeldBySelf(): Promise<boolean> {
    const entry = await this.options.store.get(this.options.key);
    return entry.isOk() && entry.value !== undefined && this.namesOwnLease(entry.value.value);
  }

  private namesOwnLease(value: Uint8Array): boolean {
    try {
      const { lease } = JSON.parse(new TextDecoder().decode(value)) as { lease?: unknown };
      return lease === this.leaseId;
    } catch {
      return false;
    }
  }
}
