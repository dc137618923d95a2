import { gunzipSync, gzipSync } from 'node:zlib';
import { err, type Result } from 'neverthrow';
import { canonicalText } from './canonical';
import { parseSignedBundle } from './envelope';
import { formatValidationIssue } from './validation-issue';
import { type Rejection, rejection, RejectionKind } from './rejection';
import type { SignedBundle } from './signature';

/** Largest chunk of a whole bundle, in bytes; below the store's limit of 1 MB per value. */
export const maxChunkBytes = 900_000;

/** Largest document after decompression, in bytes; 26,000 adapters take about 3 MB. */
const maxDocumentBytes = 64_000_000;

/** Encodes a signed bundle as compressed JSON. Names repeat often, so it compresses well. */
export const encodeSignedBundle = ({ bundle, proposal, signOff }: SignedBundle): Uint8Array => {
  const signatures = JSON.stringify({ proposal, signOff }).slice(1);
  return gzipSync(`{"bundle":${canonicalText(bundle)},${signatures}`);
};

const malformed = (message: string): Rejection =>
  rejection(RejectionKind.malformed, 'bundle.decode', message);

/** Decodes the output of `encodeSignedBundle`, without verifying the signatures. */
export const decodeSignedBundle = (bytes: Uint8Array): Result<SignedBundle, Rejection> => {
  let document: unknown;
  try {
    document = JSON.parse(gunzipSync(bytes, { maxOutputLength: maxDocumentBytes }).toString());
  } catch {
    return err(malformed('the bytes are not a compressed JSON document'));
  }
  return parseSignedBundle(document).mapErr((issues) =>
    malformed(issues.slice(0, 3).map(formatValidationIssue).join('; ')),
  );
};

/** Splits bytes into chunks of at most `size` bytes; returns at least one chunk. */
export const splitChunks = (bytes: Uint8Array, size = maxChunkBytes): Uint8Array[] =>
  Array.from({ length: Math.max(1, Math.ceil(bytes.length / size)) }, (_, index) =>
    bytes.subarray(index * size, (index + 1) * size),
  );

export const joinChunks = (chunks: readonly Uint8Array[]): Uint8Array => Buffer.concat(chunks);
