import {
  type ChangesResult,
  type Change,
  type Clock,
  type Entry,
  eraOf,
  type Failure,
  FailureKind,
  type Lease,
  type Listing,
  type PrefixStore,
  revisionInEra,
  startOfEra,
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
      const entries = this.store.below(prefix).map((entry) => this.inEra(entry));
      const current = { entries, revision: this.revision };
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
      const { era } = this.store;
      const changes = eraOf(revision) < era ? undefined : this.since(prefix, revision);
      if (changes === undefined) return ok({ kind: 'compacted', minRevision: startOfEra(era) });
      const isOver = this.clock.now() >= endsAt || signal?.aborted === true;
      if (changes.length > 0 || isOver) {
        return ok({ kind: 'changes', changes, revision: this.revision });
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
      const read = this.store.read(key);
      const current = read && this.inEra(read);
      if ((current?.revision ?? 0) !== revision) return { kind: 'conflict', current };
      this.store.write(key, value, leaseId && this.idOf(leaseId));
      return { kind: 'swapped', revision: this.revision };
    });
  }

  grantLease(ttlMs: number): Promise<Result<Lease, Failure>> {
    return this.call('grantLease', () => {
      const lease = this.store.grant(ttlMs);
      return { ...lease, id: `${lease.id}@${this.store.era}` };
    });
  }

  async renewLease(leaseId: string): Promise<Result<Lease, Failure>> {
    const renewed = await this.call('renewLease', () => {
      const id = this.idOf(leaseId);
      return id === undefined ? undefined : this.store.renew(id);
    });
    return renewed.andThen((lease) =>
      lease === undefined
        ? err(this.failure('renewLease', FailureKind.refused))
        : ok({ ...lease, id: leaseId }),
    );
  }

  revokeLease(leaseId: string): Promise<Result<void, Failure>> {
    return this.call('revokeLease', () => {
      const id = this.idOf(leaseId);
      if (id !== undefined) this.store.revoke(id);
    });
  }

  private get revision(): number {
    return revisionInEra(this.store.era, this.store.revision);
  }

  private inEra(entry: Entry): Entry {
    return { ...entry, revision: revisionInEra(this.store.era, entry.revision) };
  }

  private since(prefix: string, revision: number): Change[] | undefined {
    const { era } = this.store;
    return this.store
      .since(prefix, revision - startOfEra(era))
      ?.map((change) =>
        change.kind === 'put'
          ? { kind: 'put', entry: this.inEra(change.entry) }
          : { ...change, revision: revisionInEra(era, change.revision) },
      );
  }

  /** The store's id of a lease; undefined if it was granted in another era. */
  private idOf(lease: string): string | undefined {
    const [id, era] = lease.split('@');
    return Number(era) === this.store.era ? id : undefined;
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
