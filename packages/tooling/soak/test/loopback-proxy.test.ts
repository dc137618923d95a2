import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { reportResets } from '@currantdrift/http';
import { LoopbackProxy } from '../src/loopback-proxy';

const proxyHost = '127.0.0.1';
const proxyPort = 17_931;

let server: Server;
let proxy: LoopbackProxy;

afterEach(async () => {
  await proxy.close();
  server.close();
});

/** What a client behind the proxy sees of a server that handles its connection so. */
const seen = async (handle: (socket: Socket) => void): Promise<{ text: string; end: string }> => {
  server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => handle(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, proxyHost, resolve);
  });
  const { port } = server.address() as AddressInfo;
  proxy = await LoopbackProxy.listen(proxyHost, proxyPort, { host: proxyHost, port });
  const client = connect({ host: proxyHost, port: proxyPort });
  reportResets(client);
  let end = 'reset';
  client.on('error', () => {});
  client.on('data', () => {});
  client.on('end', () => {
    end = 'in order';
  });
  client.write('x');
  await new Promise((resolve) => {
    client.once('close', resolve);
  });
  return { text: String(client.bytesRead), end };
};

// Guards against a soak that passes the crash of an endpoint on as an orderly end.
test('a reset that comes with data is passed on as one', async () => {
  const found = await seen((socket) => socket.write('part', () => socket.resetAndDestroy()));
  expect(found).toEqual({ text: '4', end: 'reset' });
});

test('an orderly end is passed on as one', async () => {
  expect(await seen((socket) => socket.end('part'))).toEqual({ text: '4', end: 'in order' });
});
