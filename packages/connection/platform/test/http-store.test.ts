import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { type Failure, type SwapResult, withoutEra } from '@currantdrift/core';
import { HttpHostList, HttpStore } from '@currantdrift/platform';
import { HostsStandin, StoreStandin } from '@currantdrift/standins';
import type { Result } from 'neverthrow';

const bytes = (text: string) => new TextEncoder().encode(text);

const closers: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

const serve = async (listener: RequestListener): Promise<{ address: string; server: Server }> => {
  const server = createServer(listener);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closers.push(async () => {
    server.closeAllConnections();
    server.close();
  });
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, server };
};

const connect = (address: string, timeoutMs?: number): HttpStore => {
  const store = HttpStore.create({ address, timeoutMs });
  closers.push(() => store.close());
  return store;
};

const revisionOf = (swap: Result<SwapResult, Failure>): number => {
  const result = swap._unsafeUnwrap();
  return result.kind === 'swapped' ? result.revision : 0;
};

const connectStandin = async (): Promise<{ store: HttpStore; platform: StoreStandin }> => {
  const platform = StoreStandin.create();
  const store = connect(await platform.listen());
  closers.push(() => platform.close());
  return { store, platform };
};

// Guards against differences between the protocol of the adapter and that of the stand-in, and
// against values that change on the way.
test('values, conflicts, lists and deletions are transferred over HTTP', async () => {
  const { store } = await connectStandin();
  const key = 'domain/perth north/é';
  const steps = [
    await store.get(key),
    await store.compareAndSwap(key, 0, new Uint8Array([0, 255, 10])),
    await store.compareAndSwap(key, 0, bytes('late')),
    await store.compareAndSwap('domain/absent', 7, bytes('x')),
    await store.list('domain/'),
    await store.compareAndSwap(key, 1, undefined),
    await store.get(key),
  ];
  expect(steps.map((step) => step._unsafeUnwrap())).toMatchSnapshot();
});

// Guards against a watch that misses a change or outlives its signal.
test('a watch returns on a change, at the end of its wait and on an abort', async () => {
  const { store } = await connectStandin();
  const seen = store.watch('head', 0, 5000);
  await store.compareAndSwap('head', 0, bytes('1'));
  expect((await seen)._unsafeUnwrap()?.revision).toBe(1);
  expect((await store.watch('head', 1, 20))._unsafeUnwrap()?.revision).toBe(1);
  const abort = new AbortController();
  const aborted = store.watch('head', 1, 60_000, abort.signal);
  setTimeout(() => abort.abort(), 20);
  expect((await aborted)._unsafeUnwrapErr().kind).toBe('unknown');
});

// Guards against reporting a lost response as a refusal although the write took effect.
test('a lost response is unknown and the write is in place', async () => {
  const { store, platform } = await connectStandin();
  platform.setFaults({ loseAnswers: 1, loseKeyPrefix: 'booking/' });
  const other = await store.compareAndSwap('other', 0, bytes('1'));
  const lost = await store.compareAndSwap('booking/3', 0, bytes('1'));
  expect([other.isOk(), lost._unsafeUnwrapErr().kind]).toEqual([true, 'unknown']);
  expect((await store.get('booking/3'))._unsafeUnwrap()?.revision).toBe(2);
});

// Guards against a lease that can be renewed or used after its end.
test('an ended lease is refused', async () => {
  const { store } = await connectStandin();
  const { id } = (await store.grantLease(60_000))._unsafeUnwrap();
  await store.compareAndSwap('holder', 0, bytes('me'), id);
  expect((await store.renewLease(id)).isOk()).toBe(true);
  await store.revokeLease(id);
  expect((await store.get('holder'))._unsafeUnwrap()).toBeUndefined();
  const late = [await store.renewLease(id), await store.compareAndSwap('a', 0, bytes('1'), id)];
  expect(late.map((step) => step._unsafeUnwrapErr().kind)).toEqual(['refused', 'refused']);
  const shortLease = (await store.grantLease(20))._unsafeUnwrap();
  const held = (
    await store.compareAndSwap('holder', 0, bytes('me'), shortLease.id)
  )._unsafeUnwrap();
  const gone = await store.watch('holder', 'revision' in held ? held.revision : 0, 5000);
  expect(gone._unsafeUnwrap()).toBeUndefined();
});

describe('a store that comes back from a copy', () => {
  // Guards against a revision of before that overwrites another value to which it was given again.
  test('conflicts with revisions of before the copy', async () => {
    const { store, platform } = await connectStandin();
    await store.compareAndSwap('a', 0, bytes('copied'));
    platform.copy();
    const before = await store.compareAndSwap('a', 1, bytes('lost'));
    platform.restore();
    const other = connect(platform.address);
    const copied = (await other.get('a'))._unsafeUnwrap();
    await other.compareAndSwap('a', copied?.revision ?? 0, bytes('new'));
    const stale = await store.compareAndSwap('a', revisionOf(before), bytes('stale'));
    expect(stale._unsafeUnwrapErr().kind).toBe('unknown');
    const again = await store.compareAndSwap('a', revisionOf(before), bytes('stale'));
    expect(again._unsafeUnwrap()).toMatchObject({ kind: 'conflict' });
  });

  test('gives revisions that are higher than all of before', async () => {
    const { store, platform } = await connectStandin();
    platform.copy();
    const before = revisionOf(await store.compareAndSwap('a', 0, bytes('1')));
    platform.restore();
    const after = revisionOf(await store.compareAndSwap('a', 0, bytes('1')));
    expect(after).toBeGreaterThan(before);
    expect([withoutEra(before), withoutEra(after)]).toEqual([1, 1]);
  });

  // Guards against a watch that waits at a revision which another value has by now.
  test('answers a watch that waits at a revision of before', async () => {
    const { store, platform } = await connectStandin();
    platform.copy();
    const before = revisionOf(await store.compareAndSwap('a', 0, bytes('1')));
    const waiting = store.watch('a', before, 5_000);
    await store.get('a');
    platform.restore();
    expect((await waiting)._unsafeUnwrap()).toBe(undefined);
    await store.compareAndSwap('a', 0, bytes('2'));
    const seen = (await store.watch('a', before, 5_000))._unsafeUnwrap();
    expect(Buffer.from(seen?.value ?? []).toString()).toBe('2');
  });

  // Guards against a lease that renews the one of another process.
  test('refuses leases of before, whose ids it grants again', async () => {
    const { store, platform } = await connectStandin();
    platform.copy();
    const before = (await store.grantLease(60_000))._unsafeUnwrap();
    platform.restore();
    const after = (await connect(platform.address).grantLease(60_000))._unsafeUnwrap();
    expect(after.id).not.toBe(before.id);
    const refused = [
      await store.renewLease(before.id),
      await store.compareAndSwap('a', 0, bytes('1'), before.id),
    ];
    expect(refused.map((result) => result._unsafeUnwrapErr().kind)).toEqual(['refused', 'refused']);
    expect((await store.revokeLease(before.id)).isOk()).toBe(true);
    expect((await store.renewLease(after.id)).isOk()).toBe(true);
  });
});

// Guards against reporting that a call had no effect although it may have had one, and the reverse.
test('each transport failure maps to its failure kind', async () => {
  const { address } = await serve((request, response) => {
    const answers: Record<string, () => void> = {
      refused: () => response.writeHead(429),
      down: () => response.writeHead(503),
      proxy: () => response.writeHead(502),
      missing: () => response.writeHead(404),
    };
    const key = new URL(request.url ?? '', 'http://localhost').searchParams.get('key') ?? '';
    if (key === 'silent') return;
    if (key === 'broken') request.socket.destroy();
    answers[key]?.();
    const error = { message: 'too many writes', outcome: 'not_run', retryAfterMs: 40 };
    response.end(key === 'refused' || key === 'down' ? JSON.stringify({ error }) : 'no JSON');
  });
  const store = connect(address, 250);
  const keys = ['refused', 'down', 'proxy', 'missing', 'silent', 'broken', 'odd'];
  const failures = [];
  for (const key of keys) {
    const failure = (await store.compareAndSwap(key, 0, bytes('1')))._unsafeUnwrapErr();
    failures.push({ key, kind: failure.kind, retryAfterMs: failure.retryAfterMs });
  }
  const closed = connect('127.0.0.1:1');
  failures.push({ key: 'closed', kind: (await closed.get('a'))._unsafeUnwrapErr().kind });
  expect(failures).toMatchSnapshot();
});

// Guards against reusing connections that no longer respond although new ones work.
test('after a timeout calls use new connections', async () => {
  let isSilent = false;
  const silent = new Set<unknown>();
  const { address, server } = await serve((request, response) => {
    if (isSilent) silent.add(request.socket);
    if (silent.has(request.socket)) return;
    response.setHeader('x-revision', '0');
    response.end();
  });
  const store = connect(address, 250);
  await Promise.all([store.get('a'), store.get('b'), store.get('c')]);
  server.on('connection', () => {
    isSilent = false;
  });
  isSilent = true;
  expect((await store.get('a'))._unsafeUnwrapErr().kind).toBe('unknown');
  expect((await store.get('a')).isOk()).toBe(true);
});

// Guards against using a host list that does not follow the protocol.
test('hosts are read and validated', async () => {
  const host = { name: 'e1', kind: 'engine', domain: 'perth-north', address: '127.0.0.1:9' };
  const hosts = HostsStandin.create({ hosts: [host] });
  closers.push(() => hosts.close());
  const good = HttpHostList.create({ address: await hosts.listen() });
  const odd = await serve((_, response) => response.end('{"hosts":[{"name":"e1"}]}'));
  const bad = HttpHostList.create({ address: odd.address });
  closers.push(
    () => good.close(),
    () => bad.close(),
  );
  expect((await good.read())._unsafeUnwrap()).toMatchSnapshot();
  expect((await bad.read())._unsafeUnwrapErr().kind).toBe('invalid');
});
