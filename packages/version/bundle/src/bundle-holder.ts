import { err, ok, type Result } from 'neverthrow';
import { bundleDigest } from './canonical';
import { applyDelta, type Delta, patchBundle } from './delta';
import { encodeSignedBundle } from './payload';
import { PreparedBundle } from './prepared-bundle';
import { type Rejection, rejection, RejectionKind } from './rejection';
import { type SignedBundle, verifySignatures } from './signature';
import type { TrustedKeys } from './trusted-keys';

/** Longest chain of deltas that is kept and passed on; a process further behind takes the whole. */
export const maxChain = 32;

/** Protections that tests switch off to show that they are needed. */
export interface HolderProtections {
  /** Versions only rise. */
  readonly monotone: boolean;
}

export type BundleListener = (bundle: PreparedBundle) => void;

/** The bundle in force in this process. */
export class BundleHolder {
  private held: PreparedBundle | undefined;

  /** Deltas that lead to the version in force, without a gap. */
  private chain: readonly Delta[] = [];

  private encoded: Uint8Array | undefined;

  private readonly listeners = new Set<BundleListener>();

  private constructor(
    private readonly trusted: TrustedKeys,
    private readonly protections: HolderProtections,
  ) {}

  static create(
    trusted: TrustedKeys,
    protections: HolderProtections = { monotone: true },
  ): BundleHolder {
    return new BundleHolder(trusted, protections);
  }

  /** The bundle in force; undefined before the first one. */
  get current(): PreparedBundle | undefined {
    return this.held;
  }

  /** Version in force; 0 before the first one. */
  get version(): number {
    return this.held?.version ?? 0;
  }

  /** Calls `listener` on each new version. Gives the function that ends this. */
  subscribe(listener: BundleListener): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /** Puts a whole bundle into force. `peer` says where it came from. */
  acceptBundle(signed: SignedBundle, peer: string): Result<PreparedBundle, Rejection> {
    if (this.protections.monotone && signed.bundle.version <= this.version) {
      return err(this.notNewer(signed.bundle.version, peer));
    }
    const digest = bundleDigest(signed.bundle);
    const verified = verifySignatures(digest, signed, this.trusted);
    if (verified.isErr()) return err({ ...verified.error, peer });
    return ok(this.replace(PreparedBundle.create(signed, digest), []));
  }

  /**
   * Puts the last version of a chain of deltas into force. Deltas up to the version held are
   * skipped; if any of the others does not fit or is not signed, nothing changes.
   */
  acceptDeltas(deltas: readonly Delta[], peer: string): Result<PreparedBundle, Rejection> {
    const { held } = this;
    if (held === undefined) {
      return err(this.broken('there is no bundle yet that a delta could start at', peer));
    }
    const fresh = deltas.filter(({ version }) => version > held.version);
    if (fresh.length === 0) return err(this.notNewer(deltas.at(-1)?.version ?? 0, peer));
    let { digest } = held;
    let signed: SignedBundle = { bundle: held.bundle, ...held.signatures };
    for (const delta of fresh) {
      if (delta.previous !== digest) {
        const message = `version ${delta.version} does not follow version ${signed.bundle.version} that is held`;
        return err(this.broken(message, peer));
      }
      const apply = delta === fresh.at(-1) ? applyDelta : patchBundle;
      const next = apply(signed.bundle, delta).andThen((rebuilt) =>
        verifySignatures(delta.digest, rebuilt, this.trusted).map(() => rebuilt),
      );
      if (next.isErr()) return err({ ...next.error, peer });
      signed = next.value;
      digest = delta.digest;
    }
    const chain = [...this.chain, ...fresh].slice(-maxChain);
    return ok(this.replace(PreparedBundle.create(signed, digest), chain));
  }

  /**
   * Deltas that lead from a version to the one in force; undefined if some of them are not kept
   * or `digest` is not that of the version.
   */
  deltasSince(version: number, digest: string): readonly Delta[] | undefined {
    if (version === this.version) return [];
    const start = this.chain.findIndex((delta) => delta.version === version + 1);
    if (start < 0 || this.chain[start].previous !== digest) return undefined;
    return this.chain.slice(start);
  }

  /** The bundle in force, encoded for another process; undefined before the first one. */
  whole(): Uint8Array | undefined {
    const { held } = this;
    if (held === undefined) return undefined;
    this.encoded ??= encodeSignedBundle({ bundle: held.bundle, ...held.signatures });
    return this.encoded;
  }

  private replace(next: PreparedBundle, chain: readonly Delta[]): PreparedBundle {
    this.held = next;
    this.chain = chain;
    this.encoded = undefined;
    this.listeners.forEach((listener) => listener(next));
    return next;
  }

  private notNewer(version: number, peer: string): Rejection {
    const message = `version ${version} is not above version ${this.version}, which is in force`;
    return rejection(RejectionKind.notNewer, 'bundle.accept', message, peer);
  }

  private broken(message: string, peer: string): Rejection {
    return rejection(RejectionKind.brokenChain, 'bundle.accept', message, peer);
  }
}
