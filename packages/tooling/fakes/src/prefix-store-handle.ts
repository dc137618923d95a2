import {
  type ChangesResult,
  type Clock,
  type Failure,
  FailureKind,
  type Lease,
  type Listing,
  type PrefixStore,
  type SwapResult,
} from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import type { MemoryPrefixStore } from './memory-prefix-store';

/** Pause between two looks for changes, and the time of a call that is not answered, in ms. */
const pollMs = 10;
const lostCallMs = 1_000;

/** One client of a `MemoryPrefixStore`. */
export class PrefixStoreHandle implements PrefixStore {
  /** While true, no call arrives. */
  cut = false;

  /** While true, calls arrive and their answers are lost. */
  deaf = false;

  /** Prefixes whose changes cannot be read, while all other calls are answered. */
  readonly unreadable = new Set<string>();

  /** Whether waits for changes that begin now or are under way end without an answer, and late. */
  hasSilentWaits = false;

  /** Answers to the next listings, in place of what the store holds. */
  readonly oldListings: Listing[] = [];

  /** Calls by kind that were begun, also those that did not arrive. */
  readonly calls = new Map<string, number>();

  private constructor(
    private readonly store: MemoryPrefixStore,
    private readonly clock: Clock,
  ) {}

  static create(store: MemoryPrefixStore, clock: Clock): PrefixStoreHandle {
    return new PrefixStoreHandle(store, clock);
  }

  listing(prefix: string): Promise<Result<Listing, Failure>> {
    return this.call('listing', () => {
      const current = { entries: this.store.below(prefix), revision: this.store.revision };
      return this.oldListings.shift() ?? current;
    });
  }

  async changes(
    prefix: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<ChangesResult, Failure>> {
    const endsAt = this.clock.now() + waitMs;
    this.count('changes');
    for (;;) {
      if (this.cut || this.deaf || this.unreadable.has(prefix)) return this.lost('changes');
      if (this.hasSilentWaits) return this.lost('changes', endsAt - this.clock.now());
      const changes = this.store.since(prefix, revision);
      if (changes === undefined) return ok({ kind: 'compacted', minRevision: 0 });
      const isOver = this.clock.now() >= endsAt || signal?.aborted === true;
      if (changes.length > 0 || isOver) {
        return ok({ kind: 'changes', changes, revision: this.store.revision });
      }
      await this.clock.sleep(pollMs, signal);
    }
  }

  compareAndSwap(
    key: string,
    revision: number,
    value: Uint8Array | undefined,
    leaseId?: string,
  ): Promise<Result<SwapResult, Failure>> {
    return this.call('compareAndSwap', (): SwapResult => {
      const current = this.store.read(key);
      if ((current?.revision ?? 0) !== revision) return { kind: 'conflict', current };
      return { kind: 'swapped', revision: this.store.write(key, value, leaseId) };
    });
  }

  grantLease(ttlMs: number): Promise<Result<Lease, Failure>> {
    return this.call('grantLease', () => this.store.grant(ttlMs));
  }

  async renewLease(leaseId: string): Promise<Result<Lease, Failure>> {
    const renewed = await this.call('renewLease', () => this.store.renew(leaseId));
    return renewed.andThen((lease) =>
      lease === undefined ? err(this.failure('renewLease', FailureKind.refused)) : ok(lease),
    );
  }

  revokeLease(leaseId: string): Promise<Result<void, Failure>> {
    return this.call('revokeLease', () => this.store.revoke(leaseId));
  }

  private async call<T>(step: string, run: () => T): Promise<Result<T, Failure>> {
    this.count(step);
    if (this.cut) return this.lost(step);
    const value = run();
    return this.deaf ? this.lost(step) : ok(value);
  }

  private count(step: string): void {
    this.calls.set(step, (this.calls.get(step) ?? 0) + 1);
  }

  private async lost(step: string, waitMs = 0): Promise<Result<never, Failure>> {
    await this.clock.sleep(waitMs + lostCallMs);
    return err(this.failure(step, FailureKind.unknown));
  }

  private failure(step: string, kind: FailureKind): Failure {
    return { kind, step: `store.${step}`, peer: 'store', message: 'fault of the test' };
  }
}
