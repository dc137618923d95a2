import { type AddressInfo, connect, createServer, type Server } from 'node:net';
import { NoopTelemetry, SystemClock } from '@currantdrift/core';
import { HttpEndpointConnector } from '@currantdrift/endpoint';
import { ByteBudget, ShedReport } from '@currantdrift/http';
import { outcomeUnknown, RefusalCode, type RequestEntry } from '@currantdrift/node';
import { HttpServer } from '../src/process/http-server';
import { CallersInterface } from '../src/request/callers-interface';

const report = ShedReport.create(NoopTelemetry.create());
const connector = HttpEndpointConnector.create();
const clock = SystemClock.create();

let service: Server;
let callers: HttpServer;

afterEach(async () => {
  service.close();
  await callers.close(clock, 0);
});

afterAll(() => connector.close());

/** A service whose every answer is `text`, after which it closes in order. */
const startService = async (text: string): Promise<number> => {
  service = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => socket.end(text));
  });
  await new Promise<void>((resolve) => {
    service.listen(0, '127.0.0.1', resolve);
  });
  return (service.address() as AddressInfo).port;
};

/** Serves callers with the answers of the service at `port`; returns the callers' port. */
const startCallers = async (port: number): Promise<number> => {
  const endpoint = connector.connect({
    name: 'ledger-1',
    kind: 'service',
    domain: 'd',
    address: `127.0.0.1:${port}`,
    state: 'live',
    incarnation: 1,
    pool: 'ledger',
    fencing: false,
  });
  const entry: Pick<RequestEntry, 'authenticate' | 'call'> = {
    authenticate: () => ({
      name: 'c',
      keyHashes: [],
      items: [],
      services: [],
      maxPriority: 5,
      weight: 1,
    }),
    call: async (request, signal) => {
      const answer = await endpoint.call(request, signal);
      return answer
        .map((response) => ({ ...response, replayed: false }))
        .mapErr(({ message }) => outcomeUnknown(RefusalCode.outcomeUnknown, message));
    },
  };
  const limits = { defaultDeadlineMs: 5_000, maxDeadlineMs: 5_000 };
  const routes = CallersInterface.create({
    entry: entry as RequestEntry,
    clock,
    telemetry: NoopTelemetry.create(),
    body: { maxBytes: 1_000, timeoutMs: 1_000 },
    deadlines: limits,
    memory: { budget: ByteBudget.create(1_000_000), report },
    closing: new AbortController().signal,
  }).routes();
  callers = HttpServer.create(routes.fetch, '127.0.0.1:0', { maxConnections: 10 }, report);
  return (await callers.listen())._unsafeUnwrap();
};

/** All that a caller receives until the connection closes; a kept one is closed by the caller. */
const call = async (answer: string): Promise<string> => {
  const port = await startCallers(await startService(answer));
  const socket = connect({ port, host: '127.0.0.1' });
  let received = '';
  socket.on('data', (data) => {
    received += data.toString();
    if (/content-length/iu.test(received)) socket.end();
  });
  socket.write('GET /v1/services/s/read HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\n\r\n');
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  return received;
};

// Guards against an answer that its service breaks off and that the caller gets framed as whole: without a
// length, nothing tells the two apart, so the caller must not be told more than the daemon knows.
test.each([
  ['nothing of its body', ''],
  ['half of its body', 'half an ans'],
])('an answer without a length, of which %s came, gets none', async (_name, body) => {
  const received = await call(`HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n${body}`);
  const [head, rest] = received.split('\r\n\r\n');
  expect(head).toMatch(/^HTTP\/1\.1 200 OK[^]*connection: close/iu);
  expect(head).not.toMatch(/content-length|transfer-encoding/iu);
  expect(rest).toBe(body);
});

// What that must not cost: answers that mark their end keep their connection and their length.
test('an answer with a length keeps it', async () => {
  const received = await call('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole');
  expect(received).toMatch(/content-length: 5/iu);
  expect(received).not.toMatch(/connection: close/iu);
});

test('an answer that ends within its head is none', async () => {
  expect(await call('HTTP/1.1 200 OK\r\nContent-Type: text/pl')).toMatch(/^HTTP\/1\.1 50[24] /u);
});
