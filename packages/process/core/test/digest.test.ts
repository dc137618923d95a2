import { requestKey } from '../src';

// Guards against a table of ids that is bounded by their number only: clients choose their lengths.
test('a long id is remembered by a key of fixed length', () => {
  const ids = ['r1', 'x'.repeat(64), 'x'.repeat(65), 'x'.repeat(16_000), `${'x'.repeat(16_000)}y`];
  const keys = ids.map(requestKey);
  expect(keys.slice(0, 2)).toEqual(ids.slice(0, 2));
  expect(new Set(keys).size).toBe(ids.length);
  expect(Math.max(...keys.map(({ length }) => length))).toBe('digest:'.length + 64);
});

// Guards against a client that sends the key of another client's id.
test('no id has the key of another one as its own', () => {
  const key = requestKey('x'.repeat(100));
  expect(requestKey(key)).not.toBe(key);
});
