import type { KeyObject } from 'node:crypto';
import {
  generateKeys,
  proposeBundle,
  readPrivateKey,
  type SignedBundle,
  signOffBundle,
  TrustedKeys,
} from '@currantdrift/bundle';
import type { Bundle } from '@currantdrift/core';

/** Operators with their keys. */
export class Operators {
  private constructor(
    private readonly privateKeys: ReadonlyMap<string, KeyObject>,
    readonly publicKeys: Readonly<Record<string, string>>,
    readonly trusted: TrustedKeys,
  ) {}

  static create(names: readonly string[]): Operators {
    const pairs = names.map((name) => [name, generateKeys()] as const);
    const privateKeys = pairs.map(
      ([name, { privateKey }]) => [name, readPrivateKey(privateKey)._unsafeUnwrap()] as const,
    );
    const publicKeys = Object.fromEntries(pairs.map(([name, { publicKey }]) => [name, publicKey]));
    const trusted = TrustedKeys.create(publicKeys)._unsafeUnwrap();
    return new Operators(new Map(privateKeys), publicKeys, trusted);
  }

  /** Proposes a bundle as `a` and signs it off as `b`. */
  sign(bundle: Bundle, a: string, b: string): SignedBundle {
    const proposed = proposeBundle(bundle, a, this.key(a));
    return signOffBundle(proposed, b, this.key(b), this.trusted)._unsafeUnwrap();
  }

  private key(name: string): KeyObject {
    const key = this.privateKeys.get(name);
    if (key === undefined) throw new Error(`the operator ${name} has no key`);
    return key;
  }
}
