import { SystemClock } from '@currantdrift/core';
import { PeerConnections, WebSocketNetwork } from '@currantdrift/peer';
import { WebSocket } from 'ws';

const port = 23_117;

const address = `127.0.0.1:${port}`;

const clock = SystemClock.create();

const create = (own: string) =>
  PeerConnections.create({
    network: WebSocketNetwork.create({ maxMessageBytes: 10_000 }),
    clock,
    address: own,
  });

const closeCode = (send: (socket: WebSocket) => void) =>
  new Promise<number>((resolve) => {
    const socket = new WebSocket(`ws://${address}/`);
    socket.on('open', () => send(socket));
    socket.on('close', resolve);
    socket.on('error', () => {});
  });

// Guards against bad input on one connection that harms the process or other connections, and
// against a message over the limit that closes the connection of others.
test('bad messages close only their own connection', async () => {
  const [server, client] = [create(address), create('127.0.0.1:23118')];
  await server.listen();
  server.onRequest('echo', ({ bytes }) => ({ kind: 'echoed', bytes }));
  server.onRequest('large', () => ({ kind: 'large', bytes: new Uint8Array(20_000) }));
  const call = async (kind: string, bytes: Uint8Array) =>
    (await client.request(address, { kind, bytes }, 2000)).match(
      (answer) => answer.bytes,
      ({ kind: failure, message }) => `${failure}: ${message}`,
    );
  const results = [
    await call('echo', new Uint8Array([1, 2, 255])),
    await closeCode((socket) => socket.send('text')),
    await closeCode((socket) => socket.send(Buffer.from([0xc1]))),
    await closeCode((socket) => socket.send(Buffer.from([0x05]))),
    await closeCode((socket) => socket.send(Buffer.alloc(10_001))),
    await call('echo', new Uint8Array(20_000)),
    await call('large', new Uint8Array(0)),
    await call('echo', new Uint8Array([3])),
    client.size,
  ];
  await Promise.all([client.close(), server.close()]);
  expect(results).toMatchInlineSnapshot(`
   [
     {
       "data": [
         1,
         2,
         255,
       ],
       "type": "Buffer",
     },
     1003,
     1007,
     1007,
     1009,
     "unreachable: the message of 20037 bytes is larger than allowed",
     "unknown: the answer of 20038 bytes is larger than allowed",
     {
       "data": [
         3,
       ],
       "type": "Buffer",
     },
     1,
   ]
  `);
});

// Guards against an address in use, or a malformed one, that ends the process.
test('addresses that cannot be used give a failure', async () => {
  const network = WebSocketNetwork.create();
  const first = (await network.listen(address, () => {}))._unsafeUnwrap();
  const failures = [
    await network.listen(address, () => {}),
    await network.listen('nowhere', () => {}),
    await network.connect('127.0.0.1:1'),
    await network.connect('127.0.0.1:99999'),
  ].map((result) => result._unsafeUnwrapErr());
  await first.close();
  expect(failures).toMatchSnapshot();
});
