import {
  type Clock,
  type Entry,
  type Failure,
  FailureKind,
  type Lease,
  maxValueBytes,
  type Store,
  type SwapResult,
} from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import type { MemoryStore } from './memory-store';

/** Faults of the store that a test can switch at any time. */
export interface StoreFaults {
  /** Calls are refused before they take effect. */
  down: boolean;
  /** Time that each call takes, in ms; half before its effect, half after. */
  latencyMs: number;
  /** Watches that wait or begin end late and without an answer; other calls are answered. */
  silentWatches: boolean;
  /** Decides, after a call took effect, whether its answer is lost. */
  losesAnswer: (call: string, key: string) => boolean;
}

/** Time beyond its wait after which the client of a silent watch gives up, in ms. */
const silentWatchMs = 1_000;

/** Longest time between two looks of a waiting watch, in ms; covers leases that end by time. */
const watchStepMs = 500;

/** One client's connection to a `MemoryStore`. */
export class StoreHandle implements Store {
  readonly faults: StoreFaults = {
    down: false,
    latencyMs: 0,
    silentWatches: false,
    losesAnswer: () => false,
  };

  private constructor(
    private readonly store: MemoryStore,
    private readonly clock: Clock,
  ) {}

  static create(store: MemoryStore, clock: Clock): StoreHandle {
    return new StoreHandle(store, clock);
  }

  get(key: string): Promise<Result<Entry | undefined, Failure>> {
    return this.perform('get', key, () => ok(this.store.read(key)));
  }

  list(prefix: string): Promise<Result<readonly { key: string; revision: number }[], Failure>> {
    return this.perform('list', prefix, () => ok(this.store.keys(prefix)));
  }

  compareAndSwap(
    key: string,
    revision: number,
    value: Uint8Array | undefined,
    leaseId?: string,
  ): Promise<Result<SwapResult, Failure>> {
    return this.perform('compareAndSwap', key, () => {
      if (value !== undefined && value.length > maxValueBytes) {
        return err(this.failure('compareAndSwap', FailureKind.refused, 'value is too large'));
      }
      if (leaseId !== undefined && !this.store.hasLease(leaseId)) {
        return err(this.failure('compareAndSwap', FailureKind.refused, 'lease has ended'));
      }
      return ok(this.store.swap(key, revision, value, leaseId));
    });
  }

  async watch(
    key: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<Entry | undefined, Failure>> {
    this.store.countCall('watch');
    const end = this.clock.now() + waitMs;
    for (;;) {
      if (this.faults.down) return err(this.failure('watch', FailureKind.refused, 'store is down'));
      if (this.faults.silentWatches) {
        await this.clock.sleep(end - this.clock.now() + silentWatchMs, signal);
        return err(this.failure('watch', FailureKind.unknown, 'no answer came'));
      }
      const entry = this.store.read(key);
      const left = end - this.clock.now();
      if ((entry?.revision ?? 0) !== revision || left <= 0 || signal?.aborted) return ok(entry);
      const step = new AbortController();
      const stop = () => step.abort();
      signal?.addEventListener('abort', stop, { once: true });
      await Promise.race([
        this.store.changed(),
        this.clock.sleep(Math.min(left, watchStepMs), step.signal),
      ]);
      stop();
      signal?.removeEventListener('abort', stop);
    }
  }

  grantLease(ttlMs: number): Promise<Result<Lease, Failure>> {
    return this.perform('grantLease', '', () => ok(this.store.grant(ttlMs)));
  }

  renewLease(leaseId: string): Promise<Result<Lease, Failure>> {
    return this.perform('renewLease', leaseId, () => {
      const lease = this.store.renew(leaseId);
      return lease === undefined
        ? err(this.failure('renewLease', FailureKind.refused, 'lease has ended'))
        : ok(lease);
    });
  }

  revokeLease(leaseId: string): Promise<Result<void, Failure>> {
    return this.perform('revokeLease', leaseId, () => ok(this.store.revoke(leaseId)));
  }

  private failure(call: string, kind: FailureKind, message: string): Failure {
    return { kind, step: `store.${call}`, peer: 'store', message };
  }

  private async perform<T>(
    call: string,
    key: string,
    effect: () => Result<T, Failure>,
  ): Promise<Result<T, Failure>> {
    this.store.countCall(call);
    const { latencyMs } = this.faults;
    if (latencyMs > 0) await this.clock.sleep(latencyMs / 2);
    if (this.faults.down) return err(this.failure(call, FailureKind.refused, 'store is down'));
    const result = effect();
    if (latencyMs > 0) await this.clock.sleep(latencyMs / 2);
    if (this.faults.losesAnswer(call, key)) {
      return err(this.failure(call, FailureKind.unknown, 'the answer was lost'));
    }
    return result;
  }
}
