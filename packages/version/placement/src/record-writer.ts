import {
  type Clock,
  describeFailure,
  hadNoEffect,
  type Random,
  type Store,
  type Telemetry,
} from '@currantdrift/core';
import { type DomainRecord, encodeRecord } from './record';

/**
 * Result of a change to the record. `unrecorded`: the store is down and the change is kept in
 * memory, to be written later. `outage`: the store is down and the change was undone. `lost`: the
 * domain is lost to another holder, so no more orders may be sent. `rejected`: the change does not
 * apply to the current record.
 */
export type CommitResult = 'confirmed' | 'unrecorded' | 'outage' | 'lost' | 'rejected';

/** A change to the record. */
export interface Change {
  /** Returns the changed record, or undefined if the change does not apply to it. */
  readonly apply: (record: DomainRecord) => DomainRecord | undefined;
  /** Reverts the change; omitted if the change may stay in memory while the store is down. */
  readonly undo?: (record: DomainRecord) => DomainRecord;
}

interface PendingChange {
  readonly change: Change;
  readonly resolve: (commit: CommitResult) => void;
}

export interface RecordWriterOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly key: string;
  readonly record: DomainRecord;
  readonly revision: number;
  /** Called once, when the writer is closed because the domain is lost or handed over. */
  readonly onLost: () => void;
}

/** Time, in ms, for which a failing write is retried before the store counts as down. */
const outageAfterMs = 1_000;

const retryMs = 200;

/** Applies the holder's changes to the domain record and writes them in order, in batches. */
export class RecordWriter {
  private working: DomainRecord;

  private written: DomainRecord;

  private revision: number;

  private waiting: PendingChange[] = [];

  /** Changes in the write in flight. */
  private batch: PendingChange[] = [];

  /** The record in the write in flight, whose result is not known yet. */
  private attempted: DomainRecord | undefined;

  private swapStartedAt: number | undefined;

  private writing = false;

  private lost = false;

  private failingSince: number | undefined;

  private constructor(private readonly options: RecordWriterOptions) {
    this.working = options.record;
    this.written = options.record;
    this.revision = options.revision;
  }

  static create(options: RecordWriterOptions): RecordWriter {
    return new RecordWriter(options);
  }

  /** The record with all changes, confirmed or not. Decisions are based on it. */
  get record(): DomainRecord {
    return this.working;
  }

  /** The record last confirmed by the store. */
  get confirmed(): DomainRecord {
    return this.written;
  }

  get isLost(): boolean {
    return this.lost;
  }

  /** True once writes have failed for `outageAfterMs`. */
  get isOutage(): boolean {
    return (
      this.failingSince !== undefined &&
      this.options.clock.now() - this.failingSince >= outageAfterMs
    );
  }

  /** Tells whether an intent is in the store, whether or not the write in flight takes effect. */
  isStored(id: string): boolean {
    const holds = (record: DomainRecord) => record.intents.some((intent) => intent.id === id);
    return holds(this.written) && (this.attempted === undefined || holds(this.attempted));
  }

  /** Counts a write that has not returned as failing; called at regular intervals. */
  check(): void {
    if (this.swapStartedAt !== undefined) this.failingSince ??= this.swapStartedAt;
    if (this.isOutage) this.resolveAsOutage();
  }

  /** Stops all writes and resolves waiting changes as `lost`. */
  close(): void {
    if (this.lost) return;
    this.lost = true;
    this.drain('lost');
    this.options.onLost();
  }

  /** Applies a change at once; resolves when the store has confirmed it or counts as down. */
  commit(change: Change): Promise<CommitResult> {
    if (this.lost) return Promise.resolve('lost');
    const next = change.apply(this.working);
    if (next === undefined) return Promise.resolve('rejected');
    if (next === this.working) return Promise.resolve('confirmed');
    this.working = next;
    return new Promise((resolve) => {
      this.waiting.push({ change, resolve });
      if (this.isOutage) this.resolveAsOutage();
      if (!this.writing) this.run();
    });
  }

  private run(): void {
    this.writing = true;
    this.write().catch((error: unknown) => {
      this.options.telemetry.log('record_write_failed', { error: String(error) });
      this.close();
    });
  }

  private async write(): Promise<void> {
    while (!this.lost && this.working !== this.written) {
      // Changes made in the same turn of the event loop join the write.
      await Promise.resolve();
      const target = { ...this.working, serial: this.written.serial + 1 };
      const encoded = encodeRecord(target);
      if (encoded.isErr()) {
        this.options.telemetry.log('record_too_large', { error: encoded.error });
        this.resolveAsOutage();
        this.failingSince ??= this.options.clock.now();
        await this.options.clock.sleep(retryMs);
        continue;
      }
      this.batch = this.waiting;
      this.waiting = [];
      const { working } = this;
      this.attempted = target;
      const revision = await this.swap(encoded.value);
      if (revision === undefined) return;
      this.attempted = undefined;
      const { batch } = this;
      this.batch = [];
      this.revision = revision;
      this.written = target;
      if (this.working === working) this.working = target;
      batch.forEach(({ resolve }) => resolve('confirmed'));
    }
    // Set synchronously after the last check of `working`, so that no later change is left waiting.
    this.writing = false;
  }

  /** Retries the write until the store confirms `bytes`; undefined if the domain is lost. */
  private async swap(bytes: Uint8Array): Promise<number | undefined> {
    const { store, clock, random, telemetry, key } = this.options;
    while (!this.lost) {
      this.swapStartedAt = clock.now();
      const swap = await store.compareAndSwap(key, this.revision, bytes);
      this.swapStartedAt = undefined;
      if (swap.isOk()) {
        this.failingSince = undefined;
        if (swap.value.kind === 'swapped') return swap.value.revision;
        const { current } = swap.value;
        // An earlier attempt whose response was lost has taken effect.
        if (current !== undefined && Buffer.compare(current.value, bytes) === 0) {
          return current.revision;
        }
        telemetry.log('domain_lost', { key, epoch: this.working.epoch });
        this.close();
        return undefined;
      }
      this.failingSince ??= clock.now();
      if (!hadNoEffect(swap.error) || this.isOutage) {
        telemetry.log('record_write_retried', { failure: describeFailure(swap.error) });
      }
      if (this.isOutage) this.resolveAsOutage();
      await clock.sleep(retryMs * (0.5 + random.next()));
    }
    return undefined;
  }

  private resolveAsOutage(): void {
    this.takeWaiting().forEach(({ change, resolve }) => {
      if (change.undo === undefined) {
        resolve('unrecorded');
        return;
      }
      this.working = change.undo(this.working);
      resolve('outage');
    });
  }

  private drain(commit: CommitResult): void {
    this.takeWaiting().forEach(({ resolve }) => resolve(commit));
  }

  private takeWaiting(): readonly PendingChange[] {
    const taken = [...this.batch, ...this.waiting];
    this.batch = [];
    this.waiting = [];
    return taken;
  }
}
