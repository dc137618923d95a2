import type { Entry, Failure, Lease, Store, SwapResult, Telemetry } from '@currantdrift/core';
import type { Result } from 'neverthrow';

/** The store with each call counted by kind and result. */
export class CountedStore implements Store {
  private constructor(
    private readonly store: Store,
    private readonly telemetry: Telemetry,
  ) {}

  static create(store: Store, telemetry: Telemetry): CountedStore {
    return new CountedStore(store, telemetry);
  }

  get(key: string): Promise<Result<Entry | undefined, Failure>> {
    return this.count('get', this.store.get(key));
  }

  list(prefix: string): Promise<Result<readonly { key: string; revision: number }[], Failure>> {
    return this.count('list', this.store.list(prefix));
  }

  compareAndSwap(
    key: string,
    revision: number,
    value: Uint8Array | undefined,
    leaseId?: string,
  ): Promise<Result<SwapResult, Failure>> {
    const swap = this.store.compareAndSwap(key, revision, value, leaseId);
    return this.count('compareAndSwap', swap);
  }

  watch(
    key: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<Entry | undefined, Failure>> {
    return this.count('watch', this.store.watch(key, revision, waitMs, signal));
  }

  grantLease(ttlMs: number): Promise<Result<Lease, Failure>> {
    return this.count('grantLease', this.store.grantLease(ttlMs));
  }

  renewLease(leaseId: string): Promise<Result<Lease, Failure>> {
    return this.count('renewLease', this.store.renewLease(leaseId));
  }

  revokeLease(leaseId: string): Promise<Result<void, Failure>> {
    return this.count('revokeLease', this.store.revokeLease(leaseId));
  }

  private async count<T>(
    call: string,
    pending: Promise<Result<T, Failure>>,
  ): Promise<Result<T, Failure>> {
    const result = await pending;
    const label = result.isOk() ? 'done' : result.error.kind;
    this.telemetry.count('currantdrift_store_calls_total', { call, result: label });
    return result;
  }
}
