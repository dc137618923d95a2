import type { Entry, Failure, Store } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { type BundleHolder, maxDeltaChain } from './bundle-holder';
import { decodeHead, readBundle, readDeltas, readHead } from './bundle-store';
import { bundleDigest } from './canonical';
import { type Rejection, rejection, RejectionKind } from './rejection';
import type { SignedBundle } from './signature';
import type { Head } from './stored-values';

/** Loads the accepted bundle from the store into a holder. */
export class BundleReader {
  private constructor(
    private readonly store: Store,
    private readonly holder: BundleHolder,
  ) {}

  static create(store: Store, holder: BundleHolder): BundleReader {
    return new BundleReader(store, holder);
  }

  /**
   * Reads the head and loads its version if it is newer. Returns the version in force afterwards;
   * 0 if nothing has been rolled out yet.
   */
  async load(): Promise<Result<number, Failure | Rejection>> {
    const entry = await readHead(this.store);
    if (entry.isErr()) return err(entry.error);
    return this.advanceTo(entry.value.head);
  }

  /** Loads the version that an entry of `bundle/head` names, if it is newer. */
  async loadHead(entry: Entry | undefined): Promise<Result<number, Failure | Rejection>> {
    const read = decodeHead(entry);
    if (read.isErr()) return err(read.error);
    return this.advanceTo(read.value.head);
  }

  private async advanceTo(head: Head | undefined): Promise<Result<number, Failure | Rejection>> {
    const { holder } = this;
    if (head === undefined || head.version <= holder.version) return ok(holder.version);
    if (holder.version > 0 && head.version - holder.version <= maxDeltaChain) {
      const deltas = await readDeltas(this.store, head, holder.version);
      // The version may have arrived from a peer in the meantime.
      if (head.version <= holder.version) return ok(holder.version);
      const accepted = deltas.andThen((chain) => holder.acceptDeltas(chain, 'store'));
      if (accepted.isOk()) return ok(holder.version);
    }
    const whole = await readBundle(this.store, head);
    if (head.version <= holder.version) return ok(holder.version);
    if (whole.isErr()) return err({ ...whole.error, peer: 'store' });
    return this.acceptFromStore(head, whole.value);
  }

  private acceptFromStore(head: Head, signed: SignedBundle): Result<number, Rejection> {
    if (bundleDigest(signed.bundle) !== head.digest) {
      const message = `the chunks of version ${head.version} do not match the digest in the head`;
      return err(rejection(RejectionKind.wrongDigest, 'bundle.read', message, 'store'));
    }
    return this.holder.acceptBundle(signed, 'store').map(({ version }) => version);
  }
}
