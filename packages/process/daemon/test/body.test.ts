import { createServer, request, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { NoopTelemetry, SystemClock } from '@currantdrift/core';
import { ByteBudget, ClientBytes, ShedReport } from '@currantdrift/http';
import { readBody } from '../src/request/body';

const memory = {
  budget: ByteBudget.create(1_000_000),
  report: ShedReport.create(NoopTelemetry.create()),
};

const limits = { maxBytes: 100, timeoutMs: 2_000 };

let server: Server;

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

/** Sends `sent` of a body of ten bytes to a server that reads it; resolves with what was read. */
const read = (sent: string, closing: AbortSignal): Promise<string> =>
  new Promise((resolve) => {
    server = createServer((incoming, outgoing) => {
      const counted = ClientBytes.create(incoming, outgoing, memory, () => outgoing.destroy());
      readBody(counted, limits, SystemClock.create(), closing).then((body) =>
        resolve(
          body.match(
            (bytes) => Buffer.from(bytes).toString(),
            ({ status, code, outcome }) => `${status} ${code} ${outcome}`,
          ),
        ),
      );
    });
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      const headers = { 'content-length': 10 };
      const outgoing = request({ port, host: '127.0.0.1', method: 'POST', headers });
      outgoing.on('error', () => {});
      outgoing.write(sent);
    });
  });

test('a body that is complete in time is read', async () => {
  expect(await read('0123456789', new AbortController().signal)).toBe('0123456789');
});

// Guards against calls that begin late in a planned stop and are interrupted by its end.
test('a request whose body is still coming when the daemon closes is refused at once', async () => {
  const closing = new AbortController();
  setTimeout(() => closing.abort(), 100);
  const startedAt = performance.now();
  expect(await read('01234', closing.signal)).toBe('503 stopping not_run');
  expect(performance.now() - startedAt).toBeLessThan(1_000);
});

test('a request that arrives after the daemon has closed is refused', async () => {
  expect(await read('0123456789', AbortSignal.abort())).toBe('503 stopping not_run');
});
