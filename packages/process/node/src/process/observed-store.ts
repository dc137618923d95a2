import {
  decodeLease,
  type Entry,
  eraOf,
  type Failure,
  type Lease,
  type Store,
  type SwapResult,
  type Telemetry,
} from '@currantdrift/core';
import type { Result } from 'neverthrow';

/** The era that a successful answer of the store shows; undefined if it shows none. */
type EraReader<T> = (answer: T) => number | undefined;

const eraOfEntry = (entry: Entry | undefined) => entry && eraOf(entry.revision);
const eraOfLease = ({ id }: Lease) => decodeLease(id).era;
const eraOfSwap = (swap: SwapResult) =>
  swap.kind === 'swapped' ? eraOf(swap.revision) : eraOfEntry(swap.current);

/** Wraps a store, counts each call by operation and result, and reports the eras of the answers. */
export class ObservedStore implements Store {
  private constructor(
    private readonly store: Store,
    private readonly telemetry: Telemetry,
    private readonly onEra: (era: number) => void,
  ) {}

  /** `onEra` gets the era of each answer that shows one, before the answer is used. */
  static create(store: Store, telemetry: Telemetry, onEra: (era: number) => void): ObservedStore {
    return new ObservedStore(store, telemetry, onEra);
  }

  get(key: string): Promise<Result<Entry | undefined, Failure>> {
    return this.observe('get', this.store.get(key), eraOfEntry);
  }

  list(prefix: string): Promise<Result<readonly { key: string; revision: number }[], Failure>> {
    const listed = this.store.list(prefix);
    return this.observe('list', listed, ([first]) => first && eraOf(first.revision));
  }

  compareAndSwap(
    key: string,
    revision: number,
    value: Uint8Array | undefined,
    leaseId?: string,
  ): Promise<Result<SwapResult, Failure>> {
    const swap = this.store.compareAndSwap(key, revision, value, leaseId);
    return this.observe('compareAndSwap', swap, eraOfSwap);
  }

  watch(
    key: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<Entry | undefined, Failure>> {
    return this.observe('watch', this.store.watch(key, revision, waitMs, signal), eraOfEntry);
  }

  grantLease(ttlMs: number): Promise<Result<Lease, Failure>> {
    return this.observe('grantLease', this.store.grantLease(ttlMs), eraOfLease);
  }

  renewLease(leaseId: string): Promise<Result<Lease, Failure>> {
    return this.observe('renewLease', this.store.renewLease(leaseId), eraOfLease);
  }

  revokeLease(leaseId: string): Promise<Result<void, Failure>> {
    return this.observe('revokeLease', this.store.revokeLease(leaseId), () => undefined);
  }

  private async observe<T>(
    call: string,
    pending: Promise<Result<T, Failure>>,
    eraOfAnswer: EraReader<T>,
  ): Promise<Result<T, Failure>> {
    const result = await pending;
    const label = result.isOk() ? 'done' : result.error.kind;
    this.telemetry.count('currantdrift_store_calls_total', { call, result: label });
    const era = result.isOk() ? eraOfAnswer(result.value) : undefined;
    if (era !== undefined) this.onEra(era);
    return result;
  }
}
