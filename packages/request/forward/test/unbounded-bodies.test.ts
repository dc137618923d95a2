import { connect, type Socket } from 'node:net';
import { type Behaviour, chunk, event, ForwardHarness, head, streamHead } from './harness';

/** Maximum growth of this process's memory in a test, in bytes. */
const flatBytes = 128 * 1024 * 1024;

const mebibyte = 'x'.repeat(1024 * 1024);

let harness: ForwardHarness;

afterEach(() => harness.close());

/** Sends `start` and then repeats `piece` until the connection closes. */
const endless =
  (start: string, piece: string): Behaviour =>
  (socket) => {
    const send = () => {
      if (socket.destroyed) return;
      if (socket.write(piece)) setImmediate(send);
      else socket.once('drain', send);
    };
    socket.write(start);
    send();
  };

const settle = () =>
  new Promise((resolve) => {
    setTimeout(resolve, 100);
  });

describe('an endpoint that sends an unbounded answer', () => {
  // Guards against memory that grows with an event, and against a truncated stream that looks complete.
  test('in one event: the stream is aborted after the last complete event', async () => {
    harness = await ForwardHarness.create(
      endless(streamHead + chunk(event(1)), `100000\r\n${mebibyte}\r\n`),
    );
    const before = process.memoryUsage().rss;
    const seen = await harness.call('/once/');
    expect(seen).toMatchObject({ status: 200, body: event(1), complete: false });
    expect(seen.elapsedMs).toBeLessThan(1_500);
    await settle();
    expect(harness.endpoint(0).closed).toBe(1);
    expect(process.memoryUsage().rss - before).toBeLessThan(flatBytes);
  });

  // Guards against the sum of many answers, each of them below the limit of a single answer.
  test('in many bodies at once: all fail, and memory stays bounded', async () => {
    harness = await ForwardHarness.create(endless(`${head(200)}\r\n`, mebibyte));
    const before = process.memoryUsage().rss;
    let peak = 0;
    const watch = setInterval(() => {
      peak = Math.max(peak, process.memoryUsage().rss - before);
    }, 5);
    const seen = await Promise.all(
      Array.from({ length: 60 }, () => harness.call('/unsafe/', { body: 'x' })),
    );
    clearInterval(watch);
    expect(new Set(seen.map(({ status }) => status))).toEqual(new Set([502]));
    expect(peak).toBeLessThan(flatBytes);
    await settle();
    expect(harness.endpoint(0).closed).toBe(60);
  });
});

/**
 * Sends to the forwarder every `pauseMs`, or as fast as it reads if that is 0, and collects what comes
 * back.
 */
const caller = async (start: string, piece: string, pauseMs: number) => {
  const [host, port] = harness.address.split(':');
  const seen = { text: '', isClosed: false, sentBytes: 0 };
  const socket: Socket = connect(Number(port), host);
  socket.on('error', () => {});
  socket.on('data', (data: Buffer) => {
    seen.text += data.toString();
  });
  const closed = new Promise<void>((resolve) => {
    socket.on('close', () => {
      seen.isClosed = true;
      resolve();
    });
  });
  const send = () => {
    if (socket.destroyed || !socket.writable) return;
    seen.sentBytes += piece.length;
    const hasRoom = socket.write(piece);
    if (pauseMs > 0) setTimeout(send, pauseMs);
    else if (hasRoom) setImmediate(send);
    else socket.once('drain', send);
  };
  socket.write(start);
  send();
  await Promise.race([
    closed,
    new Promise((resolve) => {
      setTimeout(resolve, 4_000);
    }),
  ]);
  socket.destroy();
  return seen;
};

describe('a caller that sends an unbounded body', () => {
  const request = 'POST /unsafe/ HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n';

  // Guards against a caller that gets no answer, and against reading its body forever.
  test.each([
    ['with a length', `${request}Content-Length: 1000000000\r\n\r\n`, mebibyte],
    ['in chunks', `${request}Transfer-Encoding: chunked\r\n\r\n`, `100000\r\n${mebibyte}\r\n`],
  ])('fast, %s: it gets 413 and its connection is closed', async (_name, start, piece) => {
    harness = await ForwardHarness.create((socket) => socket.end());
    const before = process.memoryUsage().rss;
    const seen = await caller(start, piece, 0);
    expect(seen.text.split('\r\n')[0]).toBe('HTTP/1.1 413 Payload Too Large');
    expect(seen.isClosed).toBe(true);
    expect(seen.sentBytes).toBeLessThan(64 * 1024 * 1024);
    expect(process.memoryUsage().rss - before).toBeLessThan(flatBytes);
    expect(harness.arrivals).toEqual([0]);
  });

  // Guards against reading the body of a refused request forever.
  test.each([
    ['fast', 'x'.repeat(100_000), 0],
    ['a byte every 50 ms', 'x', 50],
  ])(
    '%s, to a route that does not exist: it gets 404 and is closed',
    async (_name, piece, pauseMs) => {
      harness = await ForwardHarness.create((socket) => socket.end());
      const unknown = request.replace('/unsafe/', '/unknown/');
      const seen = await caller(`${unknown}Content-Length: 1000000000\r\n\r\n`, piece, pauseMs);
      expect(seen.text.split('\r\n')[0]).toBe('HTTP/1.1 404 Not Found');
      expect(seen.isClosed).toBe(true);
      expect(seen.sentBytes).toBeLessThan(64 * 1024 * 1024);
    },
  );

  // Guards against closing a connection although its request was complete.
  test('a connection stays open after a request that was refused early', async () => {
    harness = await ForwardHarness.create((socket) => socket.end());
    const [host, port] = harness.address.split(':');
    const socket = connect(Number(port), host);
    let text = '';
    let isClosed = false;
    socket.on('data', (data: Buffer) => {
      text += data.toString();
    });
    socket.on('close', () => {
      isClosed = true;
    });
    const unknown = request.replace('/unsafe/', '/unknown/');
    socket.write(`${unknown.replace('POST', 'GET')}\r\n`);
    socket.write(`${unknown}Content-Length: 5\r\n\r\nwhole`);
    await new Promise((resolve) => {
      setTimeout(resolve, 2_600);
    });
    expect(text.match(/404 Not Found/gu)).toHaveLength(2);
    expect(isClosed).toBe(false);
    socket.destroy();
  });

  // Guards against a request that never ends because its body arrives one byte at a time.
  test('a byte every 50 ms: it gets 408 when the timeout of its route has passed', async () => {
    harness = await ForwardHarness.create((socket) => socket.end());
    const short = request.replace('/unsafe/', '/short/');
    const seen = await caller(`${short}Content-Length: 90\r\n\r\n`, 'x', 50);
    expect(seen.text.split('\r\n')[0]).toBe('HTTP/1.1 408 Request Timeout');
    expect(seen.isClosed).toBe(true);
    expect(harness.arrivals).toEqual([0]);
  });
});
