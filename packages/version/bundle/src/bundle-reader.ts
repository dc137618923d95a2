import type { Entry, Failure, Store } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { type BundleHolder, maxChain } from './bundle-holder';
import { headOf, readDeltas, readHead, readWhole } from './bundle-store';
import { bundleDigest } from './canonical';
import type { Head } from './head';
import { type Rejection, rejection, RejectionKind } from './rejection';
import type { SignedBundle } from './signature';

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
   * Reads the head and takes its version if it is newer. Gives the version in force afterwards;
   * 0 if nothing was ever rolled out.
   */
  async load(): Promise<Result<number, Failure | Rejection>> {
    const entry = await readHead(this.store);
    if (entry.isErr()) return err(entry.error);
    return this.take(entry.value.head);
  }

  /** Takes the version that an entry of `bundle/head` names, if it is newer. */
  async loadHead(entry: Entry | undefined): Promise<Result<number, Failure | Rejection>> {
    const read = headOf(entry);
    if (read.isErr()) return err(read.error);
    return this.take(read.value.head);
  }

  private async take(head: Head | undefined): Promise<Result<number, Failure | Rejection>> {
    const { holder } = this;
    if (head === undefined || head.version <= holder.version) return ok(holder.version);
    if (holder.version > 0 && head.version - holder.version <= maxChain) {
      const deltas = await readDeltas(this.store, head, holder.version);
      // Another path may have brought the version meanwhile.
      if (head.version <= holder.version) return ok(holder.version);
      const accepted = deltas.andThen((chain) => holder.acceptDeltas(chain, 'store'));
      if (accepted.isOk()) return ok(holder.version);
    }
    const whole = await readWhole(this.store, head);
    if (head.version <= holder.version) return ok(holder.version);
    if (whole.isErr()) return err({ ...whole.error, peer: 'store' });
    return this.acceptWhole(head, whole.value);
  }

  private acceptWhole(head: Head, signed: SignedBundle): Result<number, Rejection> {
    if (bundleDigest(signed.bundle) !== head.digest) {
      const message = `the chunks of version ${head.version} do not have the digest of the head`;
      return err(rejection(RejectionKind.wrongDigest, 'bundle.read', message, 'store'));
    }
    return this.holder.acceptBundle(signed, 'store').map(({ version }) => version);
  }
}
