import {
  type Clock,
  type Entry,
  type Failure,
  FailureKind,
  hadNoEffect,
  type Random,
  type Store,
  type SwapResult,
} from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { type Bucket, decodeBucket, encodeBucket, withoutExpired } from './bucket';
import type { Claim, RecordedOutcome } from './claim';
import {
  addClaim,
  type ClaimDecision,
  type GoneCheck,
  recordOutcome,
  releaseClaim,
  restoreClaim,
} from './claim-decisions';
import type { Protections } from './protections';

/** A change to be included in the next write of its bucket. */
export type BucketChange =
  | { readonly kind: 'claim'; readonly claim: Claim; readonly isWanted: () => boolean }
  | {
      readonly kind: 'outcome';
      readonly claim: Claim;
      readonly outcome: RecordedOutcome | undefined;
    }
  | { readonly kind: 'release'; readonly claim: Claim }
  /** Writes a claim again that the store has lost. */
  | { readonly kind: 'restore'; readonly claim: Claim };

/** Why a change was not confirmed. */
export interface WriteFailure {
  readonly failure: Failure;
  /** The change may nevertheless be in the store. */
  readonly inDoubt: boolean;
}

/**
 * Result of a change; `written` for an outcome, a release, a restored claim or one that is no longer
 * wanted.
 */
export type ChangeResult = ClaimDecision | { readonly kind: 'written' };

interface PendingChange {
  readonly change: BucketChange;
  readonly resolve: (result: Result<ChangeResult, WriteFailure>) => void;
}

interface AppliedBatch {
  readonly bucket: Bucket;
  readonly results: readonly ChangeResult[];
}

/** Write attempts of one batch before it fails; conflicts and lost responses count as attempts. */
const maxAttempts = 12;
const initialDelayMs = 5;
const maxDelayMs = 200;

const writtenResult: ChangeResult = { kind: 'written' };

/** Applies a change to a bucket without expired claims. */
const applyChange = (
  bucket: Bucket,
  change: BucketChange,
  now: number,
  isGone: GoneCheck,
): { bucket: Bucket; answer: ChangeResult } => {
  if (change.kind === 'outcome') {
    return { bucket: recordOutcome(bucket, change.claim, change.outcome), answer: writtenResult };
  }
  if (change.kind === 'restore') {
    return { bucket: restoreClaim(bucket, change.claim), answer: writtenResult };
  }
  if (change.kind === 'release' || !change.isWanted()) {
    return { bucket: releaseClaim(bucket, change.claim), answer: writtenResult };
  }
  return addClaim(bucket, change.claim, now, isGone);
};

export interface BucketWriterOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  readonly isGone: GoneCheck;
  readonly protections: Protections;
}

/**
 * Writes the changes of one bucket. All pending changes are combined into one compare-and-swap, and
 * at most one is in flight.
 */
export class BucketWriter {
  private waiting: PendingChange[] = [];

  private running = false;

  /** Changes of writes whose response was lost, which may or may not be in the store. */
  private readonly possiblyWritten = new WeakSet<PendingChange>();

  private constructor(
    private readonly key: string,
    private readonly options: BucketWriterOptions,
  ) {}

  static create(key: string, options: BucketWriterOptions): BucketWriter {
    return new BucketWriter(key, options);
  }

  /** Resolves when the store has confirmed the change or the attempts have failed. */
  submit(change: BucketChange): Promise<Result<ChangeResult, WriteFailure>> {
    return new Promise((resolve) => {
      this.waiting.push({ change, resolve });
      // eslint-disable-next-line no-void -- failures are reported to the pending changes
      if (!this.running) void this.run();
    });
  }

  private async run(): Promise<void> {
    this.running = true;
    while (this.waiting.length > 0) {
      // Lets changes submitted in the same event loop turn join the first batch.
      await Promise.resolve();
      const batch = this.waiting;
      this.waiting = [];
      const failure = await this.commit(batch);
      if (failure !== undefined) {
        batch.forEach((pending) =>
          pending.resolve(err({ failure, inDoubt: this.possiblyWritten.has(pending) })),
        );
      }
    }
    this.running = false;
  }

  /** Writes a batch and resolves its changes, or returns the failure that ended the attempts. */
  private async commit(batch: readonly PendingChange[]): Promise<Failure | undefined> {
    const { store } = this.options;
    let entry: Result<Entry | undefined, Failure> = await store.get(this.key);
    let failure = this.failure('every attempt conflicted with another writer');
    for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
      const swap: Result<SwapResult, Failure> = entry.isOk()
        ? await this.swap(entry.value, batch)
        : err(entry.error);
      if (swap.isOk() && swap.value.kind === 'swapped') return undefined;
      if (swap.isErr()) failure = swap.error;
      // After a lost response, another attempt may confirm the claims by reading their nonces.
      if (swap.isErr() && !batch.some((pending) => this.possiblyWritten.has(pending)))
        return failure;
      if (attempt === 1 && swap.isOk() && swap.value.kind === 'conflict') {
        entry = ok(swap.value.current);
      } else if (attempt < maxAttempts) {
        await this.delay(attempt);
        entry = await store.get(this.key);
      }
    }
    return failure;
  }

  private async delay(attempt: number): Promise<void> {
    const { clock, random } = this.options;
    const cappedDelayMs = Math.min(maxDelayMs, initialDelayMs * 2 ** attempt);
    await clock.sleep(Math.ceil(cappedDelayMs * random.next()));
  }

  private async swap(
    entry: Entry | undefined,
    batch: readonly PendingChange[],
  ): Promise<Result<SwapResult, Failure>> {
    const { store, clock, protections } = this.options;
    const bucket = decodeBucket(entry);
    if (bucket === undefined) return err(this.failure('the bucket cannot be decoded'));
    const applied = this.apply(withoutExpired(bucket, clock.now()), batch, clock.now());
    if (!protections.claimBeforeDispatch) this.answer(batch, applied);
    const assumedSwap: SwapResult = { kind: 'swapped', revision: entry?.revision ?? 0 };
    if (this.isUnchanged(bucket, applied.bucket)) {
      this.answer(batch, applied);
      return ok(assumedSwap);
    }
    const value = encodeBucket(applied.bucket);
    const swap = await store.compareAndSwap(this.key, entry?.revision ?? 0, value);
    const isInDoubt = swap.isErr() && !hadNoEffect(swap.error);
    if (isInDoubt) batch.forEach((pending) => this.possiblyWritten.add(pending));
    const isAssumed = isInDoubt && !protections.nonceReRead;
    if (isAssumed || (swap.isOk() && swap.value.kind === 'swapped')) this.answer(batch, applied);
    return isAssumed ? ok(assumedSwap) : swap;
  }

  private apply(bucket: Bucket, batch: readonly PendingChange[], now: number): AppliedBatch {
    let next = bucket;
    const results = batch.map(({ change }) => {
      const applied = applyChange(next, change, now, this.options.isGone);
      next = applied.bucket;
      return applied.answer;
    });
    return { bucket: next, results };
  }

  private isUnchanged(before: Bucket, after: Bucket): boolean {
    return (
      before.size === after.size && [...after].every(([hash, claim]) => before.get(hash) === claim)
    );
  }

  private answer(batch: readonly PendingChange[], { results }: AppliedBatch): void {
    batch.forEach(({ resolve }, index) => resolve(ok(results[index])));
  }

  private failure(message: string): Failure {
    return { kind: FailureKind.invalid, step: 'booking.write', peer: 'store', message };
  }
}
