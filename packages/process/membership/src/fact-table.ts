/* eslint-disable no-bitwise -- digests are defined on 32-bit words */
import { hash32 } from '@currantdrift/core';
import { compareRanks, type Fact, factHash, type Rank } from './fact';

/** Number of digest buckets. With 38 daemons of 10 endpoints each, a bucket has about 5 facts. */
export const digestBuckets = 256;

const bytesPerBucket = 4;

type Listener = (fact: Fact, previous: Fact | undefined) => void;

/** Newest known version of each fact, with a digest for comparison between members. */
export class FactTable {
  private readonly facts = new Map<string, Fact>();

  private readonly buckets = Array.from({ length: digestBuckets }, () => new Map<string, Fact>());

  private readonly digestWords = new Uint32Array(digestBuckets);

  private readonly listeners: { readonly prefix: string; readonly listener: Listener }[] = [];

  private constructor() {}

  static create(): FactTable {
    return new FactTable();
  }

  get(key: string): Fact | undefined {
    return this.facts.get(key);
  }

  get size(): number {
    return this.facts.size;
  }

  /** Calls `listener` after each change of a fact whose key starts with `prefix`. */
  subscribe(prefix: string, listener: Listener): void {
    this.listeners.push({ prefix, listener });
  }

  isNewer(key: string, rank: Rank): boolean {
    const known = this.facts.get(key);
    return known === undefined || compareRanks(rank, known.rank) > 0;
  }

  /** Stores the fact if it is newer than the known version; returns whether it was. */
  apply(fact: Fact): boolean {
    if (!this.isNewer(fact.key, fact.rank)) return false;
    const previous = this.facts.get(fact.key);
    if (previous !== undefined) this.toggleInDigest(previous);
    this.facts.set(fact.key, fact);
    this.toggleInDigest(fact);
    this.buckets[this.bucket(fact.key)].set(fact.key, fact);
    this.listeners.forEach(({ prefix, listener }) => {
      if (fact.key.startsWith(prefix)) listener(fact, previous);
    });
    return true;
  }

  /** Deletes a fact without calling the listeners. */
  forget(key: string): void {
    const fact = this.facts.get(key);
    if (fact === undefined) return;
    this.toggleInDigest(fact);
    this.facts.delete(key);
    this.buckets[this.bucket(key)].delete(key);
  }

  withPrefix(prefix: string): Fact[] {
    return [...this.facts.values()].filter((fact) => fact.key.startsWith(prefix));
  }

  /** Facts with keys greater than `cursor`, ordered by key. */
  after(cursor: string): Fact[] {
    return [...this.facts.values()]
      .filter((fact) => fact.key > cursor)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Digest: one little-endian 32-bit word per bucket, the XOR of its fact hashes. */
  digest(): Uint8Array {
    const bytes = new Uint8Array(digestBuckets * bytesPerBucket);
    const view = new DataView(bytes.buffer);
    this.digestWords.forEach((word, bucket) => view.setUint32(bucket * bytesPerBucket, word, true));
    return bytes;
  }

  /** Buckets in which a digest differs from that of this table. */
  differingBuckets(digest: Uint8Array): Set<number> {
    const own = this.digest();
    const differing = new Set<number>();
    own.forEach((byte, index) => {
      if (byte !== digest[index]) differing.add(Math.floor(index / bytesPerBucket));
    });
    return differing;
  }

  factsInBuckets(buckets: ReadonlySet<number>): Fact[] {
    return [...buckets].flatMap((bucket) => [...(this.buckets[bucket]?.values() ?? [])]);
  }

  private bucket(key: string): number {
    return hash32(key) % digestBuckets;
  }

  private toggleInDigest(fact: Fact): void {
    this.digestWords[this.bucket(fact.key)] ^= factHash(fact);
  }
}
