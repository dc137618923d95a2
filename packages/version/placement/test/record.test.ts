import { deflateSync, inflateSync } from 'node:zlib';
import { maxValueBytes, SeededRandom } from '@currantdrift/core';
import { decodeRecord, emptyRecord, encodeRecord, withHolder, withIntents } from '../src';
import { targetDomain } from './target-size';

const bytes = (text: string) => new Uint8Array(deflateSync(text));

// Guards against a record that exceeds the store's largest value at the target size.
test('the record of a target-size domain fits the store and decodes unchanged', () => {
  const { record } = targetDomain();
  const encoded = encodeRecord(record)._unsafeUnwrap();
  expect(record.intents.length).toBeGreaterThanOrEqual(2_680);
  expect(encoded.length).toBeLessThan(0.5 * maxValueBytes);
  expect(decodeRecord(encoded)._unsafeUnwrap()).toEqual(record);
});

// Guards against a damaged record that is read as an empty domain.
test('decoding an invalid record names the invalid field', () => {
  const error = (text: string) => decodeRecord(bytes(text))._unsafeUnwrapErr();
  const good = JSON.parse(
    inflateSync(encodeRecord(emptyRecord)._unsafeUnwrap()).toString('utf8'),
  ) as object;
  expect([
    decodeRecord(new TextEncoder().encode('{}'))._unsafeUnwrapErr(),
    error('{'),
    error('{"format":2}'),
    error(JSON.stringify({ ...good, epoch: -1 })),
    error(JSON.stringify({ ...good, intents: [['1-1', 3, 'a@1', 1, 0, 1, 0]] })),
  ]).toMatchInlineSnapshot(`
   [
     "the domain record is not deflated JSON",
     "the domain record is not deflated JSON",
     "the domain record is invalid at format: Invalid input: expected 1",
     "the domain record is invalid at epoch: Too small: expected number to be >=0",
     "the domain record is invalid at intents: unknown engine number",
   ]
  `);
});

// Guards against a record that is written although the store would refuse it.
test('a record above the largest value is an error', () => {
  const random = SeededRandom.create(1);
  const noise = Array.from({ length: 400_000 }, () => random.next().toString(36)).join('');
  const large = { ...emptyRecord, keepWarm: noise };
  expect(encodeRecord(large)._unsafeUnwrapErr()).toMatch(
    /has \d{7} bytes; the store takes 1000000/,
  );
});

// Guards against a takeover that loses track of a former holder that may still send orders.
test('a new holder adds a tenure for the former one', () => {
  const first = withHolder(emptyRecord, { daemon: 'd1', incarnation: 1 });
  const second = withHolder(withIntents(first, []), { daemon: 'd2', incarnation: 5 });
  expect(second).toMatchInlineSnapshot(`
   {
     "epoch": 2,
     "holder": {
       "daemon": "d2",
       "incarnation": 5,
     },
     "intents": [],
     "keepWarm": "",
     "loans": [],
     "serial": 0,
     "tenures": [
       {
         "epoch": 1,
         "holder": {
           "daemon": "d1",
           "incarnation": 1,
         },
       },
     ],
     "unrecorded": true,
   }
  `);
});
