import { createServer } from 'node:http';
import { ConnectionGuard, type ShedReport } from '@currantdrift/http';
import { getRequestListener } from '@hono/node-server';
import { Hono } from 'hono';
import { err, ok, type Result } from 'neverthrow';
import type { ListenFailure } from './client-http-server';

/** Limit on the connections to a port of this module. */
export interface StatusLimit {
  readonly maxConnections: number;
  readonly report: ShedReport;
}

const listen = (
  app: Hono,
  address: string,
  { maxConnections, report }: StatusLimit,
): Promise<Result<void, ListenFailure>> => {
  const [host, port] = address.split(':');
  const server = createServer(getRequestListener(app.fetch));
  ConnectionGuard.attach(server, { maxConnections }, report);
  return new Promise((resolve) => {
    server.once('error', (error) => resolve(err({ address, message: error.message })));
    server.listen(Number(port), host, () => resolve(ok(undefined)));
  });
};

/** Serves `path` with status 200 while the process accepts new connections, otherwise with 503. */
export const serveReadiness = (
  address: string,
  path: string,
  isReady: () => boolean,
  limit: StatusLimit,
): Promise<Result<void, ListenFailure>> => {
  const app = new Hono();
  app.get(path, (context) =>
    isReady() ? context.text('ready\n') : context.text('not ready\n', 503),
  );
  return listen(app, address, limit);
};

/** Serves the metrics in the Prometheus text format at `/metrics`. */
export const serveMetrics = (
  address: string,
  metrics: { readonly text: () => Promise<string>; readonly contentType: string },
  limit: StatusLimit,
): Promise<Result<void, ListenFailure>> => {
  const app = new Hono();
  app.get('/metrics', async (context) =>
    context.body(await metrics.text(), 200, { 'content-type': metrics.contentType }),
  );
  return listen(app, address, limit);
};
