import { createPair, left, readAll, right, Source } from './pair';

const numbers = (count: number) => Array.from({ length: count }, (_each, index) => index + 1);

// Guards against a call that is reported as not sent although it may have run, and the reverse.
test('failures say whether anything was sent', async () => {
  const { a, b, clock, network } = await createPair();
  b.onRequest('never', () => new Promise(() => {}));
  b.onRequest('throws', () => {
    throw new Error('no such table');
  });
  const call = async (address: string, kind: string) =>
    (await clock.settle(a.request(address, { kind }, 20_000))).match(
      () => 'ok',
      ({ kind: failure, message }) => `${failure}: ${message}`,
    );
  const results = [
    await call(right, 'echo'),
    await call('10.0.0.9:7000', 'echo'),
    await call(right, 'unheard'),
    await call(right, 'throws'),
    await call(right, 'never'),
  ];
  const inFlight = call(right, 'never');
  await clock.advance(1000);
  network.kill(right);
  expect([...results, await inFlight, await call(right, 'echo')]).toMatchInlineSnapshot(`
   [
     "ok",
     "unreachable: the connection was refused",
     "refused: requests of kind unheard are not served here",
     "unknown: the handler failed: Error: no such table",
     "unknown: no answer in 20000 ms",
     "unknown: the connection closed",
     "unreachable: the connection was refused",
   ]
  `);
});

// Guards against calls that wait on a silent connection while a new one would work.
test.each([
  ['trusting old connections', true],
  ['with a fresh connection', false],
])('a half-open connection: %s', async (_name, isOff) => {
  const { a, clock, network } = await createPair({ trustsOldConnections: isOff });
  const echo = async () =>
    (await clock.settle(a.request(right, { kind: 'echo' }, 300))).match(
      () => 'ok',
      ({ kind }) => kind,
    );
  expect(await echo()).toBe('ok');
  network.halfOpen(left, right);
  expect(await echo()).toBe('unknown');
  expect(await echo()).toBe(isOff ? 'unknown' : 'ok');
});

// Guards against a stream that hangs for ever on a silent connection.
test('a stream on a connection that goes silent fails as unknown within 6 s', async () => {
  const { a, b, clock, network } = await createPair();
  b.onStream('wait', async function* wait(_message, _from, signal) {
    yield { kind: 'part', number: 1 };
    await clock.sleep(60_000, signal);
  });
  const opened = await clock.settle(
    a.openStream(right, { kind: 'wait' }, new AbortController().signal),
  );
  const read = readAll(opened._unsafeUnwrap());
  // Heartbeats keep a connection in use open for as long as the peer answers.
  await clock.advance(20_000);
  network.halfOpen(left, right);
  await clock.advance(6000);
  expect(await read).toEqual([1, 'unknown']);
});

// Guards against messages without an answer that are lost for good on a silent connection.
test('notifications take a new connection within 3 s when theirs goes silent', async () => {
  const { a, b, clock, network } = await createPair();
  let received = 0;
  b.onRequest('count', () => {
    received += 1;
    return { kind: 'ok' };
  });
  const notifyFor = async (ms: number) => {
    for (let step = 0; step < ms / 400; step += 1) {
      a.notify(right, { kind: 'count' });
      await clock.advance(400);
    }
  };
  await notifyFor(10_000);
  expect(received).toBe(25);
  network.halfOpen(left, right);
  await notifyFor(3_200);
  received = 0;
  await notifyFor(2_000);
  expect(received).toBe(5);
  // The silent connection does not stay.
  await notifyFor(6_000);
  expect([a.size, b.size]).toEqual([1, 1]);
});

// Guards against heartbeats on connections that are idle or busy, and against idle ones that stay.
test('heartbeats go out only in silence and in use; idle connections close after 60 s', async () => {
  const { a, b, clock } = await createPair();
  b.onRequest('slow', async () => {
    await clock.sleep(9000);
    return { kind: 'ok' };
  });
  await clock.settle(a.request(right, { kind: 'echo' }, 1000));
  const before = a.traffic.control.messagesOut;
  await clock.advance(30_000);
  const idle = a.traffic.control.messagesOut - before;
  await clock.settle(a.request(right, { kind: 'slow' }, 20_000));
  const used = a.traffic.control.messagesOut - before - idle;
  await clock.advance(70_000);
  // The request, three heartbeats and three replies to those of the peer.
  expect({ idle, used, left: [a.size, b.size] }).toEqual({ idle: 0, used: 7, left: [0, 0] });
});

// Guards against a process that was paused and, when it resumes, takes a peer for dead whose answer
// waits to be read.
test('a process that was paused reads what arrived before it judges its peers', async () => {
  const { a, b, clock, network } = await createPair();
  b.onRequest('slow', async () => {
    await clock.sleep(3000);
    return { kind: 'ok' };
  });
  const answer = a.request(right, { kind: 'slow' }, 60_000);
  await clock.advance(1000);
  network.pause(left);
  await clock.advance(10_000);
  network.resume(left);
  expect((await clock.settle(answer)).isOk()).toBe(true);
});

// Guards against a slow reader that holds back other streams, or that lets memory grow.
test('a slow consumer holds back only its own stream', async () => {
  const { a, b, clock } = await createPair();
  const sources = [new Source(20_000, 'x'.repeat(50)), new Source(20_000, 'x'.repeat(50))];
  b.onStream('read', (message, _from, signal) => sources[Number(message.source)].read(signal));
  const open = async (source: number) =>
    (
      await clock.settle(
        a.openStream(right, { kind: 'read', source }, new AbortController().signal),
      )
    )._unsafeUnwrap();
  const slow = await open(0);
  const fast = await clock.settle(readAll(await open(1)));
  expect(fast).toEqual(numbers(20_000));
  // 64 KiB of credit, one frame beyond it and one batch that waits.
  expect(sources[0].taken).toBeLessThan(1100);
  expect(await clock.settle(readAll(slow))).toEqual(numbers(20_000));
});

// Guards against a frame for each part, which costs most of the time of a relay.
test('parts that are ready together share frames', async () => {
  const { a, b, clock } = await createPair();
  const source = new Source(640);
  b.onStream('read', (_message, _from, signal) => source.read(signal));
  const stream = await clock.settle(
    a.openStream(right, { kind: 'read' }, new AbortController().signal),
  );
  expect(await clock.settle(readAll(stream._unsafeUnwrap()))).toHaveLength(640);
  expect(b.traffic.data.messagesOut).toBeLessThanOrEqual(12);
});

// Guards against a source that goes on after nobody wants its parts.
test.each(['cancel', 'abort', 'break'] as const)('a stream that ends by %s stops', async (how) => {
  const { a, b, clock } = await createPair();
  const source = new Source(1_000_000, 'x'.repeat(200));
  b.onStream('read', (_message, _from, signal) => source.read(signal));
  const abort = new AbortController();
  const stream = (
    await clock.settle(a.openStream(right, { kind: 'read' }, abort.signal))
  )._unsafeUnwrap();
  const read = (async () => {
    let count = 0;
    for await (const part of stream.parts) {
      count += part.isOk() ? 1 : 0;
      if (count === 100 && how === 'cancel') stream.cancel();
      if (count === 100 && how === 'abort') abort.abort();
      if (count === 100 && how === 'break') break;
    }
    return count;
  })();
  expect(await clock.settle(read)).toBe(100);
  await clock.advance(100);
  const { taken } = source;
  await clock.advance(1000);
  expect([source.isAborted, source.taken]).toEqual([true, taken]);
});

// Guards against a stamp that a peer misses after a change.
test('the stamp goes with the first message and again when it changes', async () => {
  let version = 3;
  const heard: unknown[] = [];
  const { a, clock } = await createPair({
    stamp: () => ({ version }),
    onStamp: (stamp, from) => {
      if (from === left) heard.push(stamp.version);
    },
  });
  const echo = () => clock.settle(a.request(right, { kind: 'echo' }, 1000));
  await echo();
  version = 4;
  await echo();
  await echo();
  expect(heard).toEqual([3, 3, 4, 4]);
});
