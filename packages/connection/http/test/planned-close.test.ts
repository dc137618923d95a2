import { createServer, type Server } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { NoopTelemetry } from '@currantdrift/core';
import { ConnectionGuard, ShedReport } from '../src';

/** More than the buffers of a loopback connection take. */
const answerBytes = 30_000_000;

let server: Server;
let guard: ConnectionGuard;
let socket: Socket;
let received = 0;

afterEach(() => {
  socket.destroy();
  server.closeAllConnections();
});

/** A server of answers of a size, and a client that has sent `requests` and reads nothing yet. */
const start = async (size: number, requests: string): Promise<void> => {
  server = createServer((request, response) => {
    if (request.url === '/slow') setTimeout(() => response.end('slow'), 200);
    else response.end(Buffer.alloc(size));
  });
  guard = ConnectionGuard.attach(
    server,
    { maxConnections: 10 },
    ShedReport.create(NoopTelemetry.create()),
  );
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  socket = connect({ port, host: '127.0.0.1' });
  socket.on('error', () => {});
  received = 0;
  socket.write(requests);
  await sleep(100);
};

const get = (path: string) => `GET ${path} HTTP/1.1\r\nHost: x\r\n\r\n`;

/** Stops the server as a planned stop does, reads meanwhile; resolves with the bytes that came. */
const stop = async (): Promise<number> => {
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  guard.stopAccepting();
  guard.closeIdle();
  socket.on('data', (data) => {
    received += data.length;
  });
  const poll = setInterval(() => guard.closeIdle(), 20);
  await closed;
  clearInterval(poll);
  return received;
};

// Guards against answers that are written and not sent yet when a planned stop closes idle connections.
test('an answer that its client still reads is sent to its end', async () => {
  await start(answerBytes, get('/'));
  expect(await stop()).toBeGreaterThanOrEqual(answerBytes);
});

// Guards against the same for requests that were sent in a row: the answer to the first is not the last.
test('a connection with an unanswered request is not idle', async () => {
  await start(10, get('/') + get('/slow'));
  await stop();
  expect(received).toBeGreaterThan(0);
  expect(socket.bytesRead).toBe(received);
  expect(received).toBeGreaterThan(2 * 'HTTP/1.1 200 OK\r\n'.length + 10 + 'slow'.length);
});

test('an idle connection is closed, and no new one is accepted', async () => {
  await start(10, get('/'));
  const { port } = server.address() as AddressInfo;
  await stop();
  const late = connect({ port, host: '127.0.0.1' });
  const code = await new Promise((resolve) => {
    late.once('connect', () => resolve('accepted'));
    late.once('error', (error: NodeJS.ErrnoException) => resolve(error.code));
  });
  late.destroy();
  expect(code).toBe('ECONNREFUSED');
});
