import {
  type Clock,
  type Entry,
  type Failure,
  FailureKind,
  hadNoEffect,
  type Random,
  type Store,
  type Swap,
} from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { type Bucket, decodeBucket, encodeBucket, trimmed } from './bucket';
import type { Claim, RecordedOutcome } from './claim';
import {
  addClaim,
  type ClaimDecision,
  type GoneCheck,
  recordOutcome,
  releaseClaim,
} from './decide';
import type { Protections } from './protections';

/** A change that waits for the next write of its bucket. */
export type Change =
  | { readonly kind: 'claim'; readonly claim: Claim; readonly isWanted: () => boolean }
  | {
      readonly kind: 'outcome';
      readonly claim: Claim;
      readonly outcome: RecordedOutcome | undefined;
    }
  | { readonly kind: 'release'; readonly claim: Claim };

/** Why a change was not confirmed. */
export interface WriteFailure {
  readonly failure: Failure;
  /** The change may be in the store all the same. */
  readonly inDoubt: boolean;
}

/** Answer to a change; a claim that is no longer wanted, an outcome or a release is `written`. */
export type Written = ClaimDecision | { readonly kind: 'written' };

interface Waiting {
  readonly change: Change;
  readonly resolve: (result: Result<Written, WriteFailure>) => void;
}

interface Applied {
  readonly bucket: Bucket;
  readonly answers: readonly Written[];
}

/** Tries of one batch before its claims are refused; conflicts and lost answers count. */
const maxTries = 12;
const firstDelayMs = 5;
const longestDelayMs = 200;

const written: Written = { kind: 'written' };

/** Applies a change to a bucket that holds no expired claims. */
const applyChange = (
  bucket: Bucket,
  change: Change,
  now: number,
  isGone: GoneCheck,
): { bucket: Bucket; answer: Written } => {
  if (change.kind === 'outcome') {
    return { bucket: recordOutcome(bucket, change.claim, change.outcome), answer: written };
  }
  if (change.kind === 'release' || !change.isWanted()) {
    return { bucket: releaseClaim(bucket, change.claim), answer: written };
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
 * Writes the changes of one bucket. All changes that wait go into one compare-and-swap, and at
 * most one is in flight.
 */
export class BucketWriter {
  private waiting: Waiting[] = [];

  private running = false;

  /** Changes that were in a write whose answer was lost. */
  private readonly doubted = new WeakSet<Waiting>();

  private constructor(
    private readonly key: string,
    private readonly options: BucketWriterOptions,
  ) {}

  static create(key: string, options: BucketWriterOptions): BucketWriter {
    return new BucketWriter(key, options);
  }

  /** Resolves when the change is confirmed in the store or was given up. */
  submit(change: Change): Promise<Result<Written, WriteFailure>> {
    return new Promise((resolve) => {
      this.waiting.push({ change, resolve });
      // eslint-disable-next-line no-void -- failures go to the waiting changes
      if (!this.running) void this.run();
    });
  }

  private async run(): Promise<void> {
    this.running = true;
    while (this.waiting.length > 0) {
      // Changes of the same turn of the event loop join the first batch.
      await Promise.resolve();
      const batch = this.waiting;
      this.waiting = [];
      const failure = await this.commit(batch);
      if (failure !== undefined) {
        batch.forEach((waiting) =>
          waiting.resolve(err({ failure, inDoubt: this.doubted.has(waiting) })),
        );
      }
    }
    this.running = false;
  }

  /** Writes a batch and answers its changes, or gives the failure that ended the tries. */
  private async commit(batch: readonly Waiting[]): Promise<Failure | undefined> {
    const { store } = this.options;
    let entry: Result<Entry | undefined, Failure> = await store.get(this.key);
    let failure = this.failure('conflicts with other writers did not end');
    for (let attempt = 1; attempt <= maxTries; attempt += 1) {
      const swap: Result<Swap, Failure> = entry.isOk()
        ? await this.swap(entry.value, batch)
        : err(entry.error);
      if (swap.isOk() && swap.value.kind === 'swapped') return undefined;
      if (swap.isErr()) failure = swap.error;
      // After a lost answer more tries are worth it: a read may confirm the claims.
      if (swap.isErr() && !batch.some((waiting) => this.doubted.has(waiting))) return failure;
      if (attempt === 1 && swap.isOk() && swap.value.kind === 'conflict') {
        entry = ok(swap.value.current);
      } else if (attempt < maxTries) {
        await this.delay(attempt);
        entry = await store.get(this.key);
      }
    }
    return failure;
  }

  private async delay(attempt: number): Promise<void> {
    const { clock, random } = this.options;
    const longest = Math.min(longestDelayMs, firstDelayMs * 2 ** attempt);
    await clock.sleep(Math.ceil(longest * random.next()));
  }

  private async swap(
    entry: Entry | undefined,
    batch: readonly Waiting[],
  ): Promise<Result<Swap, Failure>> {
    const { store, clock, protections } = this.options;
    const bucket = decodeBucket(entry);
    if (bucket === undefined) return err(this.failure('the bucket cannot be decoded'));
    const applied = this.apply(trimmed(bucket, clock.now()), batch, clock.now());
    if (!protections.claimBeforeDispatch) this.answer(batch, applied);
    const unchanged: Swap = { kind: 'swapped', revision: entry?.revision ?? 0 };
    if (this.isUnchanged(bucket, applied.bucket)) {
      this.answer(batch, applied);
      return ok(unchanged);
    }
    const value = encodeBucket(applied.bucket);
    const swap = await store.compareAndSwap(this.key, entry?.revision ?? 0, value);
    const isLost = swap.isErr() && !hadNoEffect(swap.error);
    if (isLost) batch.forEach((waiting) => this.doubted.add(waiting));
    const isAssumed = isLost && !protections.nonceReRead;
    if (isAssumed || (swap.isOk() && swap.value.kind === 'swapped')) this.answer(batch, applied);
    return isAssumed ? ok(unchanged) : swap;
  }

  private apply(bucket: Bucket, batch: readonly Waiting[], now: number): Applied {
    let next = bucket;
    const answers = batch.map(({ change }) => {
      const applied = applyChange(next, change, now, this.options.isGone);
      next = applied.bucket;
      return applied.answer;
    });
    return { bucket: next, answers };
  }

  private isUnchanged(before: Bucket, after: Bucket): boolean {
    return (
      before.size === after.size && [...after].every(([hash, claim]) => before.get(hash) === claim)
    );
  }

  private answer(batch: readonly Waiting[], { answers }: Applied): void {
    batch.forEach(({ resolve }, index) => resolve(ok(answers[index])));
  }

  private failure(message: string): Failure {
    return { kind: FailureKind.invalid, step: 'booking.write', peer: 'store', message };
  }
}
