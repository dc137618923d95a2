import { randomBytes } from 'node:crypto';
import {
  type Clock,
  describeFailure,
  type Failure,
  type ServiceCallRequest,
  type Random,
  NoopTelemetry,
  type Store,
  SystemRandom,
  type Telemetry,
} from '@currantdrift/core';
import { bucketKey, decodeBucket, isExpired } from './bucket';
import { BucketWriter, type BucketChange, type WriteFailure } from './bucket-writer';
import { type Claim, claimLifetimeMs, ClaimState, type RecordedOutcome } from './claim';
import type { ClaimRecorder } from './claim-recorder';
import { type GoneCheck, type ExistingClaimResult, existingClaimResult } from './claim-decisions';
import { callDigest, keyHash } from './digest';
import { Permit } from './permit';
import { allProtections, type Protections } from './protections';
import { RecentClaims } from './recent-claims';
import { noRestores, type StoreRestores } from './store-restores';

export interface ClaimRequest {
  readonly caller: string;
  /** The caller's `Idempotency-Key`. */
  readonly key: string;
  readonly call: Pick<ServiceCallRequest, 'service' | 'call' | 'method' | 'query' | 'body'>;
  /** Time by which `claim` or `find` must resolve, in ms since the epoch. */
  readonly deadline: number;
}

export type ClaimResult =
  | { readonly kind: 'granted'; readonly permit: Permit }
  | ExistingClaimResult
  /**
   * This request was not run and will not be. Earlier requests with the same key may have run, so
   * the caller should retry with the same key.
   */
  | { readonly kind: 'refused'; readonly message: string; readonly retryAfterMs: number };

export interface ClaimLedgerOptions {
  readonly store: Store;
  readonly clock: Clock;
  /** Name of this daemon with its incarnation, so that its replacement has a different name. */
  readonly dispatcher: string;
  /** Reports whether another daemon has left or died; by default none counts as gone. */
  readonly isGone?: GoneCheck;
  /** By default the store never comes back from a copy. */
  readonly restores?: StoreRestores;
  readonly random?: Random;
  readonly telemetry?: Telemetry;
  /** Generates the 128-bit nonce that identifies a claim. */
  readonly nonce?: () => string;
  readonly protections?: Partial<Protections>;
}

/**
 * Lowest `retryAfterMs` of a refusal while the store is unavailable. The value sent is drawn at
 * random between this and twice as much.
 */
const storeRetryAfterMs = 2_000;
const initialRecordRetryMs = 200;
const maxRecordRetryMs = 10_000;

const retryHint = 'repeat the request with the same Idempotency-Key';

const restoredMessage = `the store has come back from a copy, and claims are being written again; ${retryHint}`;

/**
 * Claims idempotency keys in the store, so that each key of a caller is dispatched at most once.
 */
export class ClaimLedger {
  private readonly writers = new Map<string, BucketWriter>();

  /** Outcomes that this daemon has not yet written to the store, by key hash. */
  private readonly unrecorded = new Map<string, Claim>();

  private readonly recent = RecentClaims.create();

  private readonly restores: StoreRestores;

  /** Passed to permits. Private, so that only the holder of a permit can release its claim. */
  private readonly recorder: ClaimRecorder;

  private readonly random: Random;

  private readonly telemetry: Telemetry;

  private readonly protections: Protections;

  private readonly isGone: GoneCheck;

  private readonly nonce: () => string;

  private constructor(private readonly options: ClaimLedgerOptions) {
    this.random = options.random ?? SystemRandom.create();
    this.telemetry = options.telemetry ?? NoopTelemetry.create();
    this.protections = { ...allProtections, ...options.protections };
    this.isGone = options.isGone ?? (() => false);
    this.restores = options.restores ?? noRestores;
    this.restores.subscribe(() => this.rewriteRecent());
    this.nonce = options.nonce ?? (() => randomBytes(16).toString('base64url'));
    this.recorder = {
      recordDone: (claim, outcome) => this.recordDone(claim, outcome),
      recordUnknown: (claim) => this.recordUnknown(claim),
      release: (claim) => this.release(claim),
      checksDispatchWindow: this.protections.checkBeforeDispatch,
    };
  }

  static create(options: ClaimLedgerOptions): ClaimLedger {
    return new ClaimLedger(options);
  }

  /** Number of known and unknown outcomes that are not yet in the store. */
  get unrecordedCount(): number {
    return this.unrecorded.size;
  }

  /**
   * Claims the key of a booking. `now` is in ms since the epoch. Resolves by the deadline. A key that is not
   * claimed is refused while claims that the store has lost are written again.
   */
  async claim(request: ClaimRequest, now: number): Promise<ClaimResult> {
    const claim = this.newClaim(request, now);
    const known = this.unrecorded.get(claim.keyHash);
    if (known !== undefined) return existingClaimResult(known, claim.bodyDigest, now, this.isGone);
    if (this.restores.recoveryLeftMs(now) > 0) {
      return (await this.find(request, now)) ?? this.refuseDuringRecovery();
    }
    let wanted = true;
    const settled = new AbortController();
    const timeLeftMs = Math.max(0, request.deadline - now);
    const timeout = this.options.clock.sleep(timeLeftMs, settled.signal).then(() => {
      wanted = false;
    });
    const answer = await Promise.race([this.submitClaim(claim, () => wanted), timeout]);
    settled.abort();
    return answer ?? this.refusal(`the store did not confirm the claim in time; ${retryHint}`);
  }

  /**
   * Looks up the state of a key without claiming it. Undefined if the key is not claimed or the
   * store could not be read by the deadline. `now` is in ms since the epoch.
   */
  async find(
    { caller, key, call, deadline }: ClaimRequest,
    now: number,
  ): Promise<ExistingClaimResult | undefined> {
    const { store, clock } = this.options;
    const hash = keyHash(caller, key);
    const settled = new AbortController();
    const timeout = clock.sleep(Math.max(0, deadline - now), settled.signal).then(() => undefined);
    const entry = await Promise.race([store.get(bucketKey(hash)), timeout]);
    settled.abort();
    if (entry?.isErr()) {
      this.telemetry.log('booking.find_failed', { ...entry.error });
    }
    const bucket = entry?.isOk() ? decodeBucket(entry.value) : undefined;
    const existing = this.unrecorded.get(hash) ?? bucket?.get(hash);
    return existing === undefined || isExpired(existing, now)
      ? undefined
      : existingClaimResult(existing, callDigest(call), now, this.isGone);
  }

  private async recordDone(claim: Claim, outcome: RecordedOutcome): Promise<void> {
    this.keepUnrecorded({ ...claim, state: ClaimState.done, outcome });
    await this.write({ kind: 'outcome', claim, outcome });
    this.unrecorded.delete(claim.keyHash);
  }

  private async recordUnknown(claim: Claim): Promise<void> {
    this.keepUnrecorded({ ...claim, state: ClaimState.unknown });
    await this.write({ kind: 'outcome', claim, outcome: undefined });
    this.unrecorded.delete(claim.keyHash);
  }

  private keepUnrecorded(claim: Claim): void {
    this.unrecorded.set(claim.keyHash, claim);
    this.recent.remember(claim, this.options.clock.now());
  }

  private async release(claim: Claim): Promise<void> {
    this.recent.forget(claim);
    await this.write({ kind: 'release', claim });
  }

  private newClaim({ caller, key, call }: ClaimRequest, now: number): Claim {
    return {
      caller,
      keyHash: keyHash(caller, key),
      bodyDigest: callDigest(call),
      nonce: this.nonce(),
      dispatcher: this.options.dispatcher,
      claimedAt: now,
      expiresAt: now + claimLifetimeMs,
      state: ClaimState.claimed,
    };
  }

  private async submitClaim(claim: Claim, isWanted: () => boolean): Promise<ClaimResult> {
    const written = await this.submit({ kind: 'claim', claim, isWanted });
    if (written.isErr()) return this.refuseFailedClaim(claim, written.error);
    const { value } = written;
    if (value.kind === 'full') {
      const message = 'too many Idempotency-Keys are claimed in the bucket of this key';
      return { kind: 'refused', message, retryAfterMs: value.retryAfterMs };
    }
    if (value.kind === 'written') return this.refusal('the deadline has passed');
    if (value.kind !== 'granted') return value;
    const now = this.options.clock.now();
    const isRestored = this.restores.recoveryLeftMs(now) > 0;
    if (isWanted() && !isRestored) {
      this.recent.remember(claim, now);
      return { kind: 'granted', permit: Permit.create(claim, this.recorder) };
    }
    this.releaseInBackground(claim);
    return isRestored ? this.refuseDuringRecovery() : this.refusal('the deadline has passed');
  }

  private refuseDuringRecovery(): ClaimResult {
    const retryAfterMs = Math.ceil(this.restores.recoveryLeftMs(this.options.clock.now()));
    return { kind: 'refused', message: restoredMessage, retryAfterMs };
  }

  /** Writes the recent claims again, which the store may have lost. */
  private rewriteRecent(): void {
    const claims = this.recent.all();
    this.telemetry.log('booking.claims_rewritten', { count: claims.length });
    claims.forEach((claim) => {
      // eslint-disable-next-line no-void -- each write is retried until its claim expires
      void this.write({ kind: 'restore', claim });
    });
  }

  private refuseFailedClaim(claim: Claim, { failure, inDoubt }: WriteFailure): ClaimResult {
    // The store may hold the claim although nothing is dispatched; removing it frees the key.
    if (inDoubt) this.releaseInBackground(claim);
    this.telemetry.log('booking.claim_failed', { ...failure, inDoubt });
    return this.refusal(`the claim cannot be written now; ${retryHint}`, failure);
  }

  private refusal(message: string, failure?: Failure): ClaimResult {
    const defaultRetryAfterMs = storeRetryAfterMs * (1 + this.random.next());
    return {
      kind: 'refused',
      message,
      retryAfterMs: failure?.retryAfterMs ?? Math.ceil(defaultRetryAfterMs),
    };
  }

  private releaseInBackground(claim: Claim): void {
    // eslint-disable-next-line no-void -- if the release fails, the claim expires by itself
    void this.release(claim);
  }

  private async submit(change: BucketChange) {
    const key = bucketKey(change.claim.keyHash);
    const writer =
      this.writers.get(key) ??
      BucketWriter.create(key, {
        store: this.options.store,
        clock: this.options.clock,
        random: this.random,
        isGone: this.isGone,
        protections: this.protections,
      });
    this.writers.set(key, writer);
    return writer.submit(change);
  }

  /** Writes an outcome or a release, retrying with backoff until the claim expires. */
  private async write(change: BucketChange): Promise<void> {
    const { clock } = this.options;
    for (let attempt = 0; clock.now() < change.claim.expiresAt; attempt += 1) {
      const written = await this.submit(change);
      if (written.isOk()) return;
      const { failure } = written.error;
      this.telemetry.log('booking.record_failed', {
        step: failure.step,
        peer: failure.peer,
        message: describeFailure(failure),
      });
      const maxDelayMs = Math.min(maxRecordRetryMs, initialRecordRetryMs * 2 ** attempt);
      await clock.sleep(Math.ceil(maxDelayMs * (0.5 + this.random.next() / 2)));
    }
  }
}
