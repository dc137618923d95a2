import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { HttpHostList } from '@currantdrift/platform';

const closers: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

const connect = (address: string, malformed: string[] = []): HttpHostList => {
  const list = HttpHostList.create({
    address,
    onMalformed: ({ name, reason }) => malformed.push(`${name}: ${reason}`),
  });
  closers.push(() => list.close());
  return list;
};

/** Serves the list that `text` returns, as JSON. */
const serve = async (text: () => string): Promise<string> => {
  const server = createServer((_, response) => {
    response.setHeader('etag', '"r1"');
    response.end(text());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closers.push(async () => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const host = (name: string, change: object = {}) => ({
  name,
  kind: 'engine',
  domain: 'perth-north',
  address: '127.0.0.1:9',
  state: 'live',
  incarnation: 1,
  pool: 'writer',
  fencing: true,
  ...change,
});

const nested = (depth: number): string => '['.repeat(depth) + ']'.repeat(depth);

const good = host('e1');

// Guards against one odd entry that hides all hosts, or that ends the processes that read the list.
test.each([
  ['a port out of range', JSON.stringify(host('odd', { address: '127.0.0.1:70000' }))],
  ['port 0', JSON.stringify(host('odd', { address: '127.0.0.1:0' }))],
  [
    'a number too large',
    JSON.stringify(host('odd')).replace('"incarnation":1', '"incarnation":1e400'),
  ],
  ['a field nested deeply', JSON.stringify(host('odd')).replace('"writer"', nested(50_000))],
  ['no fields', '{}'],
  ['another kind of value', nested(50_000)],
])('an entry with %s hides no other host', async (_name, odd) => {
  const malformed: string[] = [];
  const address = await serve(() => `{"hosts":[${odd},${JSON.stringify(good)}]}`);
  const list = connect(address, malformed);
  expect((await list.read())._unsafeUnwrap()).toEqual([good]);
  expect(malformed).toEqual([expect.stringMatching(/./u)]);
});

// Guards against a host that is lost because its entry is odd for a moment.
test('a host whose entry becomes odd keeps its last one', async () => {
  const odd = host('e1', { address: '127.0.0.1:99999' });
  const other = host('e2');
  const lists = [[good, other], [odd, other], [other]];
  const address = await serve(() => JSON.stringify({ hosts: lists.shift() }));
  const list = connect(address);
  expect((await list.read())._unsafeUnwrap()).toEqual([good, other]);
  expect((await list.read())._unsafeUnwrap()).toEqual([good, other]);
  expect((await list.read())._unsafeUnwrap()).toEqual([other]);
});

test('an odd entry among the changes changes nothing of its host', async () => {
  const odd = { ...host('e1'), incarnation: -1 };
  const bodies = [{ hosts: [good] }, { since: 'r1', changed: [odd, host('e2')], removed: [] }];
  const address = await serve(() => JSON.stringify(bodies.shift()));
  const list = connect(address);
  await list.read();
  expect((await list.read())._unsafeUnwrap()).toEqual([good, host('e2')]);
});

test('a list without a valid entry is invalid', async () => {
  const address = await serve(() => JSON.stringify({ hosts: [{ name: 'e1' }, 7] }));
  expect((await connect(address).read())._unsafeUnwrapErr().kind).toBe('invalid');
});
