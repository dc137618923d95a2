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
 * Result of a change of the record. `unrecorded`: the store is down and the change stands in
 * memory only. `outage`: the store is down and the change was undone. `lost`: another holder has
 * written, nothing may be ordered any more. `rejected`: the change no longer applied.
 */
export type CommitResult = 'confirmed' | 'unrecorded' | 'outage' | 'lost' | 'rejected';

/** A change of the record; both functions are pure. */
export interface Change {
  /** The changed record, or undefined if the change does not apply to it. */
  readonly apply: (record: DomainRecord) => DomainRecord | undefined;
  /** Takes the change back; needed unless the change may stand unrecorded. */
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
  /** Called once when another holder's write is seen. */
  readonly onLost: () => void;
}

/** Time, in ms, that a failing store is retried before changes are answered as in an outage. */
const outageAfterMs = 1_000;

const retryMs = 200;

/** The domain record as its holder changes it: many changes in one write, in order. */
export class RecordWriter {
  private working: DomainRecord;

  private written: DomainRecord;

  private revision: number;

  private waiting: PendingChange[] = [];

  /** Changes in the write that is under way. */
  private batch: PendingChange[] = [];

  /** The record in the write whose effect is not known yet. */
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

  /** The record with all changes, confirmed or not. Decisions are made on it. */
  get record(): DomainRecord {
    return this.working;
  }

  /** The record as it was last confirmed by the store. */
  get confirmed(): DomainRecord {
    return this.written;
  }

  get isLost(): boolean {
    return this.lost;
  }

  /** True while writes fail for longer than a moment. */
  get isOutage(): boolean {
    return (
      this.failingSince !== undefined &&
      this.options.clock.now() - this.failingSince >= outageAfterMs
    );
  }

  /** Tells whether an intent is in the store whatever becomes of the write under way. */
  isStored(id: string): boolean {
    const holds = (record: DomainRecord) => record.intents.some((intent) => intent.id === id);
    return holds(this.written) && (this.attempted === undefined || holds(this.attempted));
  }

  /** Treats a write that does not return as failing; called at regular intervals. */
  check(): void {
    if (this.swapStartedAt !== undefined) this.failingSince ??= this.swapStartedAt;
    if (this.isOutage) this.resolveAsOutage();
  }

  /** Stops all writing, as after a lost domain. */
  close(): void {
    if (this.lost) return;
    this.lost = true;
    this.drain('lost');
    this.options.onLost();
  }

  /** Applies a change now and resolves when the store has confirmed it, or cannot. */
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
      // Lets changes of the same moment join the write.
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
    // In the same step as the last look at `working`, so that no later change is left waiting.
    this.writing = false;
  }

  /** Writes `bytes` until it is known that they stand; undefined if the domain is lost. */
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
        // An earlier try whose answer was lost has taken effect.
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
