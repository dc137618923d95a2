import { createHash } from 'node:crypto';
import type { Bundle } from '@currantdrift/core';
import canonicalize from 'canonicalize';

/**
 * Cache of the canonical text of each entry. Entries are immutable and shared between versions, so a
 * new version serializes only its changed entries instead of, for example, 26,000 adapters.
 */
const entryCache = new WeakMap<object, string>();

/** The entry of a list in the canonical form of RFC 8785. */
export const canonicalEntry = (entry: object): string => {
  const known = entryCache.get(entry);
  if (known !== undefined) return known;
  // A copy through bytes gives a flat string. The concatenated string of the library takes six times
  // the memory and slows down each later digest.
  const text = Buffer.from(canonicalize(entry) as string, 'utf8').toString('utf8');
  entryCache.set(entry, text);
  return text;
};

const canonicalList = (entries: readonly object[]): string =>
  `[${entries.map(canonicalEntry).join(',')}]`;

/** The bundle in the canonical form of RFC 8785. */
export const canonicalText = (bundle: Bundle): string =>
  [
    `{"adapters":${canonicalList(bundle.adapters)}`,
    `"callers":${canonicalList(bundle.callers)}`,
    `"domains":${canonicalList(bundle.domains)}`,
    `"models":${canonicalList(bundle.models)}`,
    `"previous":${JSON.stringify(bundle.previous)}`,
    `"services":${canonicalList(bundle.services)}`,
    `"version":${bundle.version}}`,
  ].join(',');

/** UTF-8 bytes of the canonical form of RFC 8785. */
export const canonicalBytes = (bundle: Bundle): Uint8Array =>
  Buffer.from(canonicalText(bundle), 'utf8');

/** SHA-256 of the canonical bytes, in lower-case hexadecimal. */
export const bundleDigest = (bundle: Bundle): string =>
  createHash('sha256').update(canonicalText(bundle), 'utf8').digest('hex');
