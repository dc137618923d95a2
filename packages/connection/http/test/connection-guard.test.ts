import { once } from 'node:events';
import {
  createServer,
  type IncomingMessage,
  request,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { NoopTelemetry } from '@currantdrift/core';
import { ConnectionGuard, type ConnectionLimits, ShedReport } from '../src';

let server: Server;

const sockets: Socket[] = [];

afterEach(() => {
  sockets.splice(0).forEach((socket) => socket.destroy());
  server.close();
});

const listen = async (
  limits: ConnectionLimits,
  handle: RequestListener = (_request, response) => response.end(),
): Promise<number> => {
  server = createServer(handle);
  ConnectionGuard.attach(server, limits, ShedReport.create(NoopTelemetry.create()));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as AddressInfo).port;
};

/** Opens a connection that sends nothing; resolves once it is open. */
const openSilent = (port: number, localAddress = '127.0.0.1'): Promise<Socket> =>
  new Promise((resolve) => {
    const socket = connect({ port, host: '127.0.0.1', localAddress });
    sockets.push(socket);
    socket.on('error', () => {});
    socket.once('connect', () => resolve(socket));
  });

const closed = (socket: Socket): Promise<void> =>
  new Promise((resolve) => {
    if (socket.closed) resolve();
    socket.once('close', () => resolve());
    socket.resume();
  });

const statusAt = (port: number): Promise<number | undefined> =>
  new Promise((resolve, reject) => {
    const outgoing = request({ port, host: '127.0.0.1', agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    outgoing.on('error', reject);
    outgoing.end();
  });

// Guards against silent connections that keep the requests of others out.
test('at the limit the connection that has waited longest gives way to a new one', async () => {
  const port = await listen({ maxConnections: 2 });
  const first = await openSilent(port);
  const second = await openSilent(port);
  expect(await statusAt(port)).toBe(200);
  await closed(first);
  expect(second.destroyed).toBe(false);
});

test('a limit for one address leaves other addresses alone', async () => {
  const port = await listen({ maxConnections: 10, perAddress: 1 });
  await openSilent(port, '127.0.0.2');
  await closed(await openSilent(port, '127.0.0.2'));
  expect(await statusAt(port)).toBe(200);
});

describe('requests that are not finished', () => {
  const limit = 10;
  const head = 'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n';
  const chunk = (size: number) => `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`;

  /** Answers a request once its body is complete. */
  const answerAtEnd = (incoming: IncomingMessage, response: ServerResponse) => {
    incoming.resume();
    incoming.once('end', () => response.end('done'));
  };

  /** Opens connections that send the beginning of a request and stay, and waits until they have stalled. */
  const openCrowd = async (port: number, size: number): Promise<Socket[]> => {
    const crowd = await Promise.all(Array.from({ length: size }, () => openSilent(port)));
    crowd.forEach((socket) => socket.write(head + chunk(5)));
    await sleep(700);
    return crowd;
  };

  const statusesAt = async (port: number, count: number) => {
    const statuses = [];
    for (let index = 0; index < count; index += 1) statuses.push(await statusAt(port));
    return statuses;
  };

  // Guards against a crowd of unfinished bodies that keeps every other client out of a server, and that costs
  // ordinary clients the connections on which they wait for their next request.
  test('stalled ones give way to new connections, before kept ones that wait', async () => {
    const port = await listen({ maxConnections: limit }, answerAtEnd);
    const kept = await openSilent(port);
    kept.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
    await once(kept, 'data');
    const crowd = await openCrowd(port, limit - 1);
    expect(await statusesAt(port, 5)).toEqual([200, 200, 200, 200, 200]);
    expect(kept.destroyed).toBe(false);
    crowd.forEach((socket) => socket.resume());
    await sleep(50);
    expect(crowd.some(({ closed: isClosed }) => isClosed)).toBe(true);
  });

  // What that must not cost: a body that goes on keeps its place beside them, however long it takes.
  test('one that makes progress is answered', async () => {
    const port = await listen({ maxConnections: limit }, answerAtEnd);
    const upload = await openSilent(port);
    upload.write(head);
    const sending = setInterval(() => upload.write(chunk(5_000)), 50);
    upload.once('close', () => clearInterval(sending));
    await openCrowd(port, limit - 1);
    expect(await statusesAt(port, 3)).toEqual([200, 200, 200]);
    clearInterval(sending);
    upload.write('0\r\n\r\n');
    const [answer] = await once(upload, 'data');
    expect(String(answer)).toMatch(/^HTTP\/1\.1 200 /u);
  });
});
