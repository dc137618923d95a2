import { createServer, request, type Server } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { NoopTelemetry } from '@currantdrift/core';
import { ConnectionGuard, type ConnectionLimits, ShedReport } from '../src';

let server: Server;

const sockets: Socket[] = [];

afterEach(() => {
  sockets.splice(0).forEach((socket) => socket.destroy());
  server.close();
});

const listen = async (limits: ConnectionLimits): Promise<number> => {
  server = createServer((_request, response) => response.end());
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
