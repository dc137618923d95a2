import { err, ok, type Result } from 'neverthrow';
import { encodeSignedBundle } from './bundle-codec';
import { bundleDigest } from './canonical';
import { applyDelta, type Delta, patchBundle } from './delta';
import { PreparedBundle } from './prepared-bundle';
import { type Rejection, rejection, RejectionKind } from './rejection';
import { type SignedBundle, verifySignatures } from './signature';
import type { TrustedKeys } from './trusted-keys';

/**
 * Maximum length of the chain of deltas that is kept and sent to peers. A process that is further
 * behind loads the whole bundle.
 */
export const maxDeltaChain = 32;

/** Protections that tests disable to show that they are necessary. */
export interface HolderProtections {
  /** Rejects versions that are not above the one in force. */
  readonly monotone: boolean;
}

export type BundleListener = (bundle: PreparedBundle) => void;

/** Holds the bundle in force in this process and the deltas that lead to it. */
export class BundleHolder {
  private held: PreparedBundle | undefined;

  /** Consecutive deltas that lead to the version in force. */
  private chain: readonly Delta[] = [];

  private encodedCache: Uint8Array | undefined;

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

  /** Calls `listener` with each new version; returns a function that unsubscribes it. */
  subscribe(listener: BundleListener): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /** Verifies a whole bundle and puts it into force. `peer` names its source. */
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
   * Verifies a chain of deltas and puts its last version into force. Deltas up to the version in force
   * are skipped; if any of the others does not apply or is not signed, nothing changes.
   */
  acceptDeltas(deltas: readonly Delta[], peer: string): Result<PreparedBundle, Rejection> {
    const { held } = this;
    if (held === undefined) {
      return err(this.broken('no bundle is in force yet, so a delta cannot be applied', peer));
    }
    const fresh = deltas.filter(({ version }) => version > held.version);
    if (fresh.length === 0) return err(this.notNewer(deltas.at(-1)?.version ?? 0, peer));
    let { digest } = held;
    let signed: SignedBundle = { bundle: held.bundle, ...held.signatures };
    for (const delta of fresh) {
      if (delta.previous !== digest) {
        const message = `version ${delta.version} does not follow version ${signed.bundle.version}, which it is applied to`;
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
    const chain = [...this.chain, ...fresh].slice(-maxDeltaChain);
    return ok(this.replace(PreparedBundle.create(signed, digest), chain));
  }

  /**
   * Deltas that lead from a version to the one in force; undefined if some of them are no longer kept
   * or `digest` does not belong to the version.
   */
  deltasSince(version: number, digest: string): readonly Delta[] | undefined {
    if (version === this.version) return [];
    const start = this.chain.findIndex((delta) => delta.version === version + 1);
    if (start < 0 || this.chain[start].previous !== digest) return undefined;
    return this.chain.slice(start);
  }

  /** The encoded bundle in force, for sending to another process; undefined before the first one. */
  whole(): Uint8Array | undefined {
    const { held } = this;
    if (held === undefined) return undefined;
    this.encodedCache ??= encodeSignedBundle({ bundle: held.bundle, ...held.signatures });
    return this.encodedCache;
  }

  private replace(next: PreparedBundle, chain: readonly Delta[]): PreparedBundle {
    this.held = next;
    this.chain = chain;
    this.encodedCache = undefined;
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
