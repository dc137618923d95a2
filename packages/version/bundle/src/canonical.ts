import { createHash } from 'node:crypto';
import type { Bundle } from '@currantdrift/core';
import canonicalize from 'canonicalize';

/**
 * Canonical text of each entry. Entries are immutable and shared between versions, so a new
 * version costs only its changed entries: without it, 26,000 adapters are serialized each time.
 */
const texts = new WeakMap<object, string>();

/** The entry of a list in the canonical form of RFC 8785. */
export const entryText = (entry: object): string => {
  const known = texts.get(entry);
  if (known !== undefined) return known;
  // A copy through bytes is one flat string; the concatenations of the library take six times
  // the memory and slow each later digest.
  const text = Buffer.from(canonicalize(entry) as string, 'utf8').toString('utf8');
  texts.set(entry, text);
  return text;
};

const listText = (entries: readonly object[]): string => `[${entries.map(entryText).join(',')}]`;

/** The bundle in the canonical form of RFC 8785. */
export const canonicalText = (bundle: Bundle): string =>
  [
    `{"adapters":${listText(bundle.adapters)}`,
    `"callers":${listText(bundle.callers)}`,
    `"domains":${listText(bundle.domains)}`,
    `"models":${listText(bundle.models)}`,
    `"previous":${JSON.stringify(bundle.previous)}`,
    `"services":${listText(bundle.services)}`,
    `"version":${bundle.version}}`,
  ].join(',');

/** UTF-8 bytes of the canonical form of RFC 8785. */
export const canonicalBytes = (bundle: Bundle): Uint8Array =>
  Buffer.from(canonicalText(bundle), 'utf8');

/** SHA-256 of the canonical bytes, in lower-case hexadecimal. */
export const bundleDigest = (bundle: Bundle): string =>
  createHash('sha256').update(canonicalText(bundle), 'utf8').digest('hex');
