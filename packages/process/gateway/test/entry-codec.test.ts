import { createHash } from 'node:crypto';
import { deflateRawSync } from 'node:zlib';
import { encodeEntry, entrySchema } from '../src/connection/entry-codec';

/** Deterministic text that compresses poorly. */
const hex = (seed: string, length: number) =>
  createHash('sha256').update(seed).digest('hex').slice(0, length);

/** A configuration with random names, in the operator's format. */
const configuration = (routes: number): Uint8Array =>
  Buffer.from(
    JSON.stringify({
      version: 12,
      routes: Array.from({ length: routes }, (_, index) => ({
        name: `r-${hex(`name ${index}`, 6)}`,
        host: `${hex(`host ${index}`, 6)}.example`,
        prefix: `/${hex(`prefix ${index}`, 8)}/`,
        routeKind: 'stream',
        timeoutMs: 15_000,
        aimMs: 1_000,
        priority: 2,
        service: 's1',
        maxAttempts: 2,
        resumable: true,
      })),
    }),
  );

const entry = (value: Uint8Array) => ({ key: 'c/now', value, revision: 3 });

test('a small value is sent uncompressed', () => {
  const small = entry(Buffer.from('small'));
  expect(encodeEntry(small)).toEqual(small);
  expect(entrySchema.parse(encodeEntry(small))).toEqual(small);
});

// Guards against configuration changes that saturate the links of the members.
test('a configuration of 1,500 routes is compressed to at most a fifth of its size', () => {
  const large = entry(configuration(1_500));
  const sent = encodeEntry(large);
  expect(sent.value.length).toBeLessThan(large.value.length / 5);
  expect(Buffer.compare(entrySchema.parse(sent).value, large.value)).toBe(0);
});

// Guards against a relay that compresses a value again that it only forwards.
test('a value that was received compressed is forwarded unchanged', () => {
  const sent = encodeEntry(entry(configuration(100)));
  const received = entrySchema.parse({ ...sent });
  expect(encodeEntry(received).value).toBe(sent.value);
});

// Guards against decompression bombs: small messages of a peer that fill the memory when decompressed.
test.each([
  ['bytes that are not compressed', Buffer.from('not compressed')],
  ['a value above the largest size', deflateRawSync(Buffer.alloc(5 * 1024 * 1024))],
])('%s are malformed', (_name, value) => {
  expect(entrySchema.safeParse({ ...entry(value), isCompressed: true }).success).toBe(false);
});
