import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { getRequestListener, type HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import type { Context, Hono } from 'hono';

/** Environment of the stand-ins' handlers: Node's request and response. */
export interface Bindings {
  Bindings: HttpBindings;
}

export type StandinApp = Hono<Bindings>;

export type StandinContext = Context<Bindings>;

/** HTTP server of a stand-in on 127.0.0.1. */
export class StandinServer {
  private constructor(
    private readonly server: Server,
    /** `127.0.0.1:port`. */
    readonly address: string,
  ) {}

  /** `port` 0 takes a free port. Rejects if the port is taken. */
  static listen(app: StandinApp, port: number): Promise<StandinServer> {
    const server = createServer(getRequestListener(app.fetch));
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, '127.0.0.1', () => {
        const { port: taken } = server.address() as AddressInfo;
        resolve(new StandinServer(server, `127.0.0.1:${taken}`));
      });
    });
  }

  /** Breaks all connections; new ones are still accepted. */
  breakConnections(): void {
    this.server.closeAllConnections();
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }
}

/** Closes the connection of a request without an answer. */
export const breakConnection = (context: StandinContext): Response => {
  context.env.incoming.socket.destroy();
  return RESPONSE_ALREADY_SENT;
};

/** An answer that says that the call was not carried out. */
export const refuse = (
  context: StandinContext,
  status: 400 | 404 | 409 | 410 | 413 | 429 | 503,
  message: string,
  retryAfterMs?: number,
): Response => {
  if (retryAfterMs !== undefined) {
    context.header('retry-after', String(Math.ceil(retryAfterMs / 1000)));
  }
  return context.json({ error: { message, outcome: 'not_run', retryAfterMs } }, status);
};

/** Lets all responses state a limit on requests; `ratePerS` returns null for none. */
export const stateRequestLimit = (app: StandinApp, ratePerS: () => number | null): void => {
  app.use(async ({ env }, next) => {
    const limit = ratePerS();
    if (limit !== null) env.outgoing.setHeader('request-limit', String(limit));
    await next();
  });
};

/** Lets all responses name the request that they answer, if it names itself. */
export const nameRequest = (app: StandinApp): void => {
  app.use(async (context, next) => {
    const id = context.req.header('x-request-id');
    if (id !== undefined) context.env.outgoing.setHeader('x-request-id', id);
    await next();
  });
};
