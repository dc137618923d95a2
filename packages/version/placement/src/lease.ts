import { type Clock, decodeLease, FailureKind, type Random, type Store } from '@currantdrift/core';

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

/** Margin before the end of the lease from which it no longer counts as confirmed, in ms. */
const confirmMarginMs = 250;

/**
 * The lease on a domain. It only elects the holder; the compare-and-swap on the domain record is
 * what prevents a former holder from changing it.
 */
export class DomainLease {
  private leaseId: string | undefined;

  /** Time until which no other process can have the lease. */
  private confirmedUntil = -Infinity;

  private constructor(private readonly options: LeaseOptions) {}

  static create(options: LeaseOptions): DomainLease {
    return new DomainLease(options);
  }

  /**
   * Whether no other process can hold the lease at `now`: it was granted or renewed within its time to
   * live, less a margin for clocks that run at different rates.
   */
  isConfirmed(now: number): boolean {
    return now < this.confirmedUntil - confirmMarginMs;
  }

  /** Era of the store in which the lease was granted; 0 without a lease. */
  get era(): number {
    return this.leaseId === undefined ? 0 : decodeLease(this.leaseId).era;
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
        const sentAt = clock.now();
        const renewed = await store.renewLease(this.leaseId);
        if (renewed.isOk()) this.confirmedUntil = sentAt + this.options.leaseMs;
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
    this.confirmedUntil = -Infinity;
    await this.options.store.revokeLease(this.leaseId);
    this.leaseId = undefined;
  }

  private async tryAcquire(): Promise<boolean> {
    const { store, clock, key, holder, leaseMs } = this.options;
    const sentAt = clock.now();
    const lease = await store.grantLease(leaseMs);
    if (lease.isErr()) return false;
    const value = new TextEncoder().encode(JSON.stringify({ holder, lease: lease.value.id }));
    const swap = await store.compareAndSwap(key, 0, value, lease.value.id);
    this.leaseId = lease.value.id;
    const isHeld =
      (swap.isOk() && swap.value.kind === 'swapped') ||
      (swap.isErr() && (await this.isHeldBySelf()));
    if (isHeld) {
      this.confirmedUntil = sentAt + leaseMs;
      return true;
    }
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
