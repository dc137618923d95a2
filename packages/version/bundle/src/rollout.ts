import { randomBytes } from 'node:crypto';
import {
  type Clock,
  describeFailure,
  type Failure,
  hadNoEffect,
  type Random,
  type Store,
} from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { backoffMs } from './backoff';
import { encodeSignedBundle, splitChunks } from './bundle-codec';
import { type HeadEntry, readBundle, readHead, readRecords } from './bundle-store';
import { bundleDigest } from './canonical';
import { makeDelta } from './delta';
import { collectGarbage } from './history';
import { formatValidationIssue } from './validation-issue';
import { parseBundle } from './schema';
import { type SignedBundle, verifySignatures } from './signature';
import {
  chunkKey,
  encodeValue,
  type Head,
  headKey,
  recordKey,
  type VersionRecord,
} from './stored-values';
import type { TrustedKeys } from './trusted-keys';

/** How a rollout ended. */
export type RolloutOutcome =
  /** The version was accepted, from this rollout or an earlier one of the same bundle. */
  | { readonly kind: 'done'; readonly version: number; readonly digest: string }
  /** Another bundle was accepted instead; `winner` is its rollout if it is known. */
  | { readonly kind: 'conflict'; readonly winner: Head | undefined; readonly message: string }
  /** Nothing was changed. */
  | { readonly kind: 'refused'; readonly message: string }
  /** The version may have been accepted; running the rollout again resolves this. */
  | { readonly kind: 'unknown'; readonly message: string };

/** Protections that tests disable to show that they are necessary. */
export interface RolloutProtections {
  /** Resolves a lost response by reading the nonce at the head. */
  readonly nonceReRead: boolean;
}

export interface RolloutOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  readonly trusted: TrustedKeys;
  /** Generates 32 hexadecimal digits that are unique to the rollout. */
  readonly nonce?: () => string;
  readonly protections?: RolloutProtections;
}

/** Maximum number of attempts of one store call in a rollout. */
const maxTries = 6;

const describeWinner = (winner: Head): string =>
  `version ${winner.version} by ${JSON.stringify(winner.operator)} (digest ${winner.digest})`;

/**
 * Whether an accepted rollout is this one, by its nonce. The same bundle with another nonce comes from
 * an earlier run whose write took effect late, which is equivalent.
 */
const isSameRollout =
  (own: Head) =>
  ({ nonce, digest }: Head): boolean =>
    nonce === own.nonce || digest === own.digest;

/** Rolls out signed bundles through the store. */
export class Rollout {
  private readonly nonce: () => string;

  private readonly protections: RolloutProtections;

  private constructor(private readonly options: RolloutOptions) {
    this.nonce = options.nonce ?? (() => randomBytes(16).toString('hex'));
    this.protections = options.protections ?? { nonceReRead: true };
  }

  static create(options: RolloutOptions): Rollout {
    return new Rollout(options);
  }

  /** Rolls out a bundle on behalf of `operator`. */
  async run(signed: SignedBundle, operator: string): Promise<RolloutOutcome> {
    const { store, trusted } = this.options;
    const digest = bundleDigest(signed.bundle);
    const verified = verifySignatures(digest, signed, trusted);
    if (verified.isErr()) return { kind: 'refused', message: verified.error.message };
    const entry = await this.withRetries(() => readHead(store));
    if (entry.isErr()) return { kind: 'refused', message: describeFailure(entry.error) };
    const { head, revision } = entry.value;
    const decided = await this.outcomeFromHead(signed, digest, head);
    if (decided !== undefined) return decided;
    const record = await this.record(signed, digest, operator, head);
    if (record.isErr()) return { kind: 'refused', message: record.error };
    const written = await this.writeValues(signed, record.value);
    if (written.isErr()) return { kind: 'refused', message: describeFailure(written.error) };
    const outcome = await this.swapHead(record.value.rollout, revision);
    // Values left over after a failure are deleted by the next rollout.
    if (outcome.kind === 'done') await collectGarbage(store);
    return outcome;
  }

  /** The outcome that the current head determines; undefined if the bundle can be rolled out. */
  private async outcomeFromHead(
    { bundle }: SignedBundle,
    digest: string,
    head: Head | undefined,
  ): Promise<RolloutOutcome | undefined> {
    if (head === undefined) {
      return bundle.version === 1
        ? undefined
        : { kind: 'conflict', winner: undefined, message: 'no version has been rolled out yet' };
    }
    if (head.version < bundle.version) {
      return head.version === bundle.version - 1 && head.digest === bundle.previous
        ? undefined
        : this.conflict(head);
    }
    return this.outcomeOfVersion(head, bundle.version, (accepted) => accepted.digest === digest);
  }

  /** The outcome for a version, from the rollout that was accepted for it. */
  private async outcomeOfVersion(
    head: Head,
    version: number,
    isOwn: (accepted: Head) => boolean,
  ): Promise<RolloutOutcome> {
    if (head.version < version) return this.conflict(head);
    const records = await this.withRetries(() =>
      readRecords(this.options.store, head, version - 1),
    );
    const accepted = records.isOk() ? records.value.at(-1)?.rollout : undefined;
    if (accepted?.version !== version) {
      const message = `version ${head.version} is accepted, but the record of version ${version} cannot be read`;
      return { kind: 'unknown', message };
    }
    return isOwn(accepted)
      ? { kind: 'done', version, digest: accepted.digest }
      : this.conflict(accepted);
  }

  private conflict(winner: Head): RolloutOutcome {
    return {
      kind: 'conflict',
      winner,
      message: `the accepted bundle is ${describeWinner(winner)}`,
    };
  }

  /** Validates the bundle against the accepted one and creates its record. */
  private async record(
    signed: SignedBundle,
    digest: string,
    operator: string,
    head: Head | undefined,
  ): Promise<Result<VersionRecord, string>> {
    const { store, clock } = this.options;
    const rollout = {
      version: signed.bundle.version,
      digest,
      nonce: this.nonce(),
      operator,
      at: clock.now(),
      chunks: splitChunks(encodeSignedBundle(signed)).length,
    };
    if (head === undefined) {
      return parseBundle(signed.bundle)
        .map(() => ({ rollout, before: null, delta: null }))
        .mapErr((issues) => issues.map(formatValidationIssue).join('; '));
    }
    const before = await this.withRetries(() => readBundle(store, head));
    if (before.isErr()) return err(before.error.message);
    return parseBundle(signed.bundle, before.value.bundle)
      .map(() => ({ rollout, before: head.nonce, delta: makeDelta(before.value.bundle, signed) }))
      .mapErr((issues) => issues.map(formatValidationIssue).join('; '));
  }

  private async writeValues(
    signed: SignedBundle,
    record: VersionRecord,
  ): Promise<Result<void, Failure>> {
    const { version, nonce } = record.rollout;
    const values = splitChunks(encodeSignedBundle(signed)).map(
      (bytes, index) => [chunkKey(version, nonce, index), bytes] as const,
    );
    for (const [key, value] of [
      ...values,
      [recordKey(version, nonce), encodeValue(record)] as const,
    ]) {
      // The key is unique to this rollout, so a conflict means that an earlier attempt was written.
      const written = await this.withRetries(() =>
        this.options.store.compareAndSwap(key, 0, value),
      );
      if (written.isErr()) return err(written.error);
    }
    return ok(undefined);
  }

  private async swapHead(rollout: Head, revision: number): Promise<RolloutOutcome> {
    const { store } = this.options;
    const swap = await store.compareAndSwap(headKey, revision, encodeValue(rollout));
    const done = { kind: 'done', version: rollout.version, digest: rollout.digest } as const;
    if (swap.isErr()) {
      if (hadNoEffect(swap.error)) return { kind: 'refused', message: describeFailure(swap.error) };
      return this.protections.nonceReRead ? this.resolveLostSwap(rollout, revision) : done;
    }
    return swap.value.kind === 'swapped' ? done : this.resolveLostRace(rollout);
  }

  private async resolveLostRace(rollout: Head): Promise<RolloutOutcome> {
    const entry = await this.withRetries(() => readHead(this.options.store));
    const winner = entry.isOk() ? entry.value.head : undefined;
    if (winner === undefined) {
      const message = 'another version was accepted first, but it cannot be read now';
      return { kind: 'conflict', winner, message };
    }
    return this.outcomeOfVersion(winner, rollout.version, isSameRollout(rollout));
  }

  /** Reads the head after a lost response, and repeats the swap while the head is unchanged. */
  private async resolveLostSwap(rollout: Head, revision: number): Promise<RolloutOutcome> {
    for (let attempt = 1; attempt <= maxTries; attempt += 1) {
      const entry = await this.withRetries(() => readHead(this.options.store));
      if (entry.isErr()) break;
      if (entry.value.revision !== revision) return this.outcomeAtHead(rollout, entry.value);
      // The lost write may still take effect. A second one on the same revision either prevents that
      // or finds that it did.
      const swap = await this.options.store.compareAndSwap(headKey, revision, encodeValue(rollout));
      if (swap.isOk() && swap.value.kind === 'swapped') {
        return { kind: 'done', version: rollout.version, digest: rollout.digest };
      }
    }
    const message = 'the response of the store was lost, and the head cannot be read now';
    return { kind: 'unknown', message };
  }

  private async outcomeAtHead(rollout: Head, { head }: HeadEntry): Promise<RolloutOutcome> {
    if (head === undefined) return { kind: 'unknown', message: 'the head was deleted' };
    return this.outcomeOfVersion(head, rollout.version, isSameRollout(rollout));
  }

  /** Repeats a failed call with backoff; only for calls that are safe to repeat. */
  private async withRetries<T, E>(call: () => Promise<Result<T, E>>): Promise<Result<T, E>> {
    const { clock, random } = this.options;
    let result = await call();
    for (let attempt = 1; result.isErr() && attempt < maxTries; attempt += 1) {
      await clock.sleep(backoffMs(attempt, random));
      result = await call();
    }
    return result;
  }
}
