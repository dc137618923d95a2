import { randomBytes } from 'node:crypto';
import {
  type Clock,
  describeFailure,
  type Failure,
  type PlainCall,
  type Random,
  SilentTelemetry,
  type Store,
  SystemRandom,
  type Telemetry,
} from '@currantdrift/core';
import { bucketKey, decodeBucket, isExpired } from './bucket';
import { BucketWriter, type Change, type WriteFailure } from './bucket-writer';
import { type Claim, claimLifeMs, ClaimState, type RecordedOutcome } from './claim';
import type { ClaimRecorder } from './claim-recorder';
import { type GoneCheck, type Standing, standingOf } from './decide';
import { callDigest, keyHash } from './digest';
import { Permit } from './permit';
import { allProtections, type Protections } from './protections';

export interface ClaimRequest {
  readonly caller: string;
  /** The caller's `Idempotency-Key`. */
  readonly key: string;
  readonly call: Pick<PlainCall, 'service' | 'call' | 'method' | 'query' | 'body'>;
  /** Time by which the claim must be settled, in ms since the epoch. */
  readonly deadline: number;
}

export type ClaimAnswer =
  | { readonly kind: 'granted'; readonly permit: Permit }
  | Standing
  /**
   * This request was not run and will not be. It says nothing of earlier requests with the same
   * key, so the caller should repeat with the same key.
   */
  | { readonly kind: 'refused'; readonly message: string; readonly retryAfterMs: number };

export interface ClaimLedgerOptions {
  readonly store: Store;
  readonly clock: Clock;
  /** Name of this daemon with its incarnation, so that a replaced one has another name. */
  readonly dispatcher: string;
  /** Tells whether another daemon has left or died; by default none counts as gone. */
  readonly isGone?: GoneCheck;
  readonly random?: Random;
  readonly telemetry?: Telemetry;
  /** Makes 128 bits that no other claim has. */
  readonly nonce?: () => string;
  readonly protections?: Partial<Protections>;
}

/** Time to come back when the store cannot be used, in ms; up to twice that, at random. */
const storeRetryMs = 2_000;
const firstRecordRetryMs = 200;
const longestRecordRetryMs = 10_000;

const sameKey = 'repeat the request with the same Idempotency-Key';

/** Claims bookings, so that each key of a caller is dispatched at most once. */
export class ClaimLedger {
  private readonly writers = new Map<string, BucketWriter>();

  /** Outcomes that this daemon knows and the store does not have yet, by key hash. */
  private readonly unrecorded = new Map<string, Claim>();

  /** What permits may do; not public, so that only the holder of a permit can release a claim. */
  private readonly recorder: ClaimRecorder;

  private readonly random: Random;

  private readonly telemetry: Telemetry;

  private readonly protections: Protections;

  private readonly isGone: GoneCheck;

  private readonly nonce: () => string;

  private constructor(private readonly options: ClaimLedgerOptions) {
    this.random = options.random ?? SystemRandom.create();
    this.telemetry = options.telemetry ?? SilentTelemetry.create();
    this.protections = { ...allProtections, ...options.protections };
    this.isGone = options.isGone ?? (() => false);
    this.nonce = options.nonce ?? (() => randomBytes(16).toString('base64url'));
    this.recorder = {
      recordDone: (claim, outcome) => this.recordDone(claim, outcome),
      recordUnknown: (claim) => this.recordUnknown(claim),
      release: (claim) => this.release(claim),
      checksTime: this.protections.checkBeforeDispatch,
    };
  }

  static create(options: ClaimLedgerOptions): ClaimLedger {
    return new ClaimLedger(options);
  }

  /** Number of outcomes and unknowns that are not yet in the store. */
  get unrecordedCount(): number {
    return this.unrecorded.size;
  }

  /** Claims the key of a booking. `now` is in ms since the epoch. Resolves by the deadline. */
  async claim(request: ClaimRequest, now: number): Promise<ClaimAnswer> {
    const claim = this.claimOf(request, now);
    const known = this.unrecorded.get(claim.keyHash);
    if (known !== undefined) return standingOf(known, claim.bodyDigest, now, this.isGone);
    let wanted = true;
    const settled = new AbortController();
    const late = this.options.clock.sleep(request.deadline - now, settled.signal).then(() => {
      wanted = false;
    });
    const answer = await Promise.race([this.submitClaim(claim, () => wanted), late]);
    settled.abort();
    return answer ?? this.refusal(`the store did not confirm the claim in time; ${sameKey}`);
  }

  /**
   * What became of the key of a booking without claiming it; undefined if nobody holds it or the store
   * does not tell by the deadline. `now` is in ms since the epoch.
   */
  async find(
    { caller, key, call, deadline }: ClaimRequest,
    now: number,
  ): Promise<Standing | undefined> {
    const { store, clock } = this.options;
    const hash = keyHash(caller, key);
    const settled = new AbortController();
    const late = clock.sleep(Math.max(0, deadline - now), settled.signal).then(() => undefined);
    const entry = await Promise.race([store.get(bucketKey(hash)), late]);
    settled.abort();
    if (entry?.isErr()) {
      this.telemetry.log('booking.find_failed', { ...entry.error });
    }
    const bucket = entry?.isOk() ? decodeBucket(entry.value) : undefined;
    const held = this.unrecorded.get(hash) ?? bucket?.get(hash);
    return held === undefined || isExpired(held, now)
      ? undefined
      : standingOf(held, callDigest(call), now, this.isGone);
  }

  private async recordDone(claim: Claim, outcome: RecordedOutcome): Promise<void> {
    this.unrecorded.set(claim.keyHash, { ...claim, state: ClaimState.done, outcome });
    await this.write({ kind: 'outcome', claim, outcome });
    this.unrecorded.delete(claim.keyHash);
  }

  private async recordUnknown(claim: Claim): Promise<void> {
    this.unrecorded.set(claim.keyHash, { ...claim, state: ClaimState.unknown });
    await this.write({ kind: 'outcome', claim, outcome: undefined });
    this.unrecorded.delete(claim.keyHash);
  }

  private async release(claim: Claim): Promise<void> {
    await this.write({ kind: 'release', claim });
  }

  private claimOf({ caller, key, call }: ClaimRequest, now: number): Claim {
    return {
      caller,
      keyHash: keyHash(caller, key),
      bodyDigest: callDigest(call),
      nonce: this.nonce(),
      dispatcher: this.options.dispatcher,
      claimedAt: now,
      expiresAt: now + claimLifeMs,
      state: ClaimState.claimed,
    };
  }

  private async submitClaim(claim: Claim, isWanted: () => boolean): Promise<ClaimAnswer> {
    const written = await this.submit({ kind: 'claim', claim, isWanted });
    if (written.isErr()) return this.claimFailed(claim, written.error);
    const { value } = written;
    if (value.kind === 'full') {
      const message = 'too many bookings are kept for keys of this group';
      return { kind: 'refused', message, retryAfterMs: value.retryAfterMs };
    }
    if (value.kind === 'written') return this.refusal('the deadline has passed');
    if (value.kind !== 'granted') return value;
    if (isWanted()) return { kind: 'granted', permit: Permit.create(claim, this.recorder) };
    this.releaseInBackground(claim);
    return this.refusal('the deadline has passed');
  }

  private claimFailed(claim: Claim, { failure, inDoubt }: WriteFailure): ClaimAnswer {
    // The claim may stand in the store without a dispatch; removing it frees the key again.
    if (inDoubt) this.releaseInBackground(claim);
    this.telemetry.log('booking.claim_failed', { ...failure, inDoubt });
    return this.refusal(`the claim cannot be written now; ${sameKey}`, failure);
  }

  private refusal(message: string, failure?: Failure): ClaimAnswer {
    const usual = storeRetryMs * (1 + this.random.next());
    return { kind: 'refused', message, retryAfterMs: failure?.retryAfterMs ?? Math.ceil(usual) };
  }

  private releaseInBackground(claim: Claim): void {
    // eslint-disable-next-line no-void -- a release that fails leaves the claim to its expiry
    void this.release(claim);
  }

  private async submit(change: Change) {
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

  /** Repeats an outcome or a release with backoff until it is written or the claim expires. */
  private async write(change: Change): Promise<void> {
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
      const longest = Math.min(longestRecordRetryMs, firstRecordRetryMs * 2 ** attempt);
      await clock.sleep(Math.ceil(longest * (0.5 + this.random.next() / 2)));
    }
  }
}
