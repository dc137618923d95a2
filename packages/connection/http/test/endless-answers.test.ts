import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { ByteBudget, HttpClient } from '../src';

/** Bytes that a server offers; a bounded reader accepts only a small part of them. */
const offeredBytes = 1024 ** 3;

/** Largest accepted growth of this process's resident memory, in bytes. */
const maxMemoryGrowthBytes = 64 * 1024 * 1024;

const limits = {
  connectTimeoutMs: 500,
  highWaterBytes: 65_536,
  maxAnswerBytes: 1_000_000,
  singleUse: true,
};

const head = 'HTTP/1.1 200 OK\r\n';
const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;

const servers: Server[] = [];
const sockets = new Set<Socket>();

afterEach(() => {
  sockets.forEach((socket) => socket.destroy());
  sockets.clear();
  servers.splice(0).forEach((server) => server.close());
});

/** State of the connection as the server sees it. */
interface ConnectionStats {
  sentBytes: number;
  isClosed: boolean;
}

/** Starts a server that sends `start`, then `piece` again and again until the connection closes. */
const serveEndless = async (start: string, piece: string, pauseMs = 0) => {
  const seen: ConnectionStats = { sentBytes: 0, isClosed: false };
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => {
      seen.isClosed = true;
    });
    const send = () => {
      if (socket.destroyed || seen.sentBytes >= offeredBytes) return;
      seen.sentBytes += piece.length;
      const hasRoom = socket.write(piece);
      if (pauseMs > 0) setTimeout(send, pauseMs);
      else if (hasRoom) setImmediate(send);
      else socket.once('drain', send);
    };
    socket.once('data', () => {
      socket.write(start);
      send();
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  return { address, client: HttpClient.create(address, 'endpoint', limits), seen };
};

/** Starts a server that answers each request with `body`; returns its address. */
const serveWhole = async (body: string): Promise<string> => {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => socket.end(`${head}Content-Length: ${body.length}\r\n\r\n${body}`));
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const get = { step: 'test', method: 'GET', path: '/' } as const;

const settle = () =>
  new Promise((resolve) => {
    setTimeout(resolve, 100);
  });

const mebibyte = 'x'.repeat(1024 * 1024);

describe('an endless response', () => {
  // Guards against a faulty endpoint that exhausts the memory of this process or blocks a call.
  test.each([
    ['in its head, in one line', `${head}A: `, mebibyte],
    ['in its head, in many lines', head, 'A: b\r\n'.repeat(10_000)],
    [
      'in its head, of informational responses',
      '',
      'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(1_000),
    ],
    ['that is not HTTP', '', mebibyte],
    ['in a body that ends with the connection', `${head}\r\n`, mebibyte],
    ['in a body of chunks', chunked, `100000\r\n${mebibyte}\r\n`],
    ['in the size of a chunk', chunked, '0'.repeat(100_000)],
    ['in the extension of a chunk', `${chunked}1;`, mebibyte],
    ['in the trailer', `${chunked}0\r\n`, 'A: b\r\n'.repeat(10_000)],
  ])('%s is abandoned and its connection closed', async (_name, start, piece) => {
    const { client, seen } = await serveEndless(start, piece);
    const before = process.memoryUsage().rss;
    const startedAt = performance.now();
    const answer = await client.whole(get, 1_500);
    expect(answer.isErr()).toBe(true);
    expect(performance.now() - startedAt).toBeLessThan(2_500);
    await settle();
    expect(seen.isClosed).toBe(true);
    expect(process.memoryUsage().rss - before).toBeLessThan(maxMemoryGrowthBytes);
  });

  // Guards against many responses that together exceed the memory of this process.
  test('is abandoned early if many others are being read', async () => {
    const heldBytes = ByteBudget.create(4_000_000);
    const answers = await Promise.all(
      Array.from({ length: 40 }, async () => {
        const { address, seen } = await serveEndless(`${head}\r\n`, mebibyte);
        const client = HttpClient.create(address, 'endpoint', { ...limits, heldBytes });
        return { answer: await client.whole(get, 1_500), seen };
      }),
    );
    const messages = answers.map(({ answer }) => answer._unsafeUnwrapErr().message);
    const reasons = new Set(messages.map((message) => message.replace(/\d+/u, 'N')));
    expect(reasons).toContain('the responses being read exceed N bytes in total');
    // All held bytes have been released.
    expect(heldBytes.totalBytes).toBe(0);
    await settle();
    expect(answers.every(({ seen }) => seen.isClosed)).toBe(true);
  });

  // Guards against one server's endless answers that cost the answers of the others.
  test('does not cost the answers of other servers', async () => {
    const heldBytes = ByteBudget.create(1_000_000);
    const clientOf = (address: string) =>
      HttpClient.create(address, 'endpoint', { ...limits, heldBytes });
    const large = `${head}\r\n${'x'.repeat(198_000)}`;
    const endless = await Promise.all(
      Array.from({ length: 5 }, async () => {
        const { address } = await serveEndless(large, 'x', 50);
        return clientOf(address).whole(get, 1_500);
      }).concat(
        (async () => {
          while (heldBytes.totalBytes < 900_000) await settle();
          const sound = await serveWhole('x'.repeat(100_000));
          return clientOf(sound).whole(get, 1_500);
        })(),
      ),
    );
    const sound = endless.pop()?._unsafeUnwrap();
    expect(sound?.body.length).toBe(100_000);
    // One large answer was enough to make room; the others ran into their own limits.
    const reasons = endless.map((answer) => answer._unsafeUnwrapErr().message);
    expect(reasons.filter((reason) => reason.includes('in total'))).toHaveLength(1);
  });

  // Guards against a slow trickle of bytes, which a progress timeout alone does not end.
  test.each([
    ['in its head', head, 'A'],
    ['in its body', `${head}\r\n`, 'x'],
    ['of informational responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  ])('that trickles %s ends in time', async (_name, start, piece) => {
    const { client, seen } = await serveEndless(start, piece, 20);
    const startedAt = performance.now();
    expect((await client.whole(get, 800)).isErr()).toBe(true);
    expect(performance.now() - startedAt).toBeLessThan(1_500);
    await settle();
    expect(seen.isClosed).toBe(true);
  });

  test('a trickle in a head also ends by the progress timeout', async () => {
    const { client } = await serveEndless(head, 'A', 20);
    const startedAt = performance.now();
    expect((await client.open({ ...get, progressTimeoutMs: 400 })).isErr()).toBe(true);
    expect(performance.now() - startedAt).toBeLessThan(1_200);
  });
});

// Guards against treating an informational response as the final one.
test('an informational response is skipped', async () => {
  const { client } = await serveEndless(
    'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
    '',
    10_000,
  );
  const answer = (await client.whole(get, 1_000))._unsafeUnwrap();
  expect({ status: answer.status, body: answer.body.toString() }).toEqual({
    status: 200,
    body: 'ok',
  });
});
