import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Clock } from '@currantdrift/core';
import { ConnectionGuard, type ConnectionLimits, type ShedReport } from '@currantdrift/http';
import { getRequestListener } from '@hono/node-server';
import { err, ok, type Result } from 'neverthrow';

/** Time limit for receiving a request's headers, in ms; the body has a separate limit. */
const headersTimeoutMs = 10_000;

/** Time after which an idle connection is closed, in ms. */
const keepAliveMs = 30_000;

/** Most header lines of a request; a line costs many times its length in memory. */
const maxHeaderLines = 256;

const closePollMs = 50;

/** Reason why a port could not be opened. */
export interface ListenFailure {
  readonly address: string;
  readonly message: string;
}

/** An HTTP server that can shut down without interrupting requests. */
export class HttpServer {
  private constructor(
    private readonly server: Server,
    private readonly guard: ConnectionGuard,
    private readonly address: string,
  ) {}

  /** Creates a server that handles requests with `fetch`; `address` is `ip:port`. */
  static create(
    fetch: Parameters<typeof getRequestListener>[0],
    address: string,
    limits: ConnectionLimits,
    report: ShedReport,
  ): HttpServer {
    const handle = getRequestListener(fetch);
    const options = {
      headersTimeout: headersTimeoutMs,
      keepAliveTimeout: keepAliveMs,
      // `readBody` enforces the time limit for the body and responds with a specific error.
      requestTimeout: 0,
      noDelay: true,
    };
    const server = createServer(options, (request, response) => {
      if (request.rawHeaders.length / 2 <= maxHeaderLines) {
        handle(request, response).catch(() => response.destroy());
        return;
      }
      report.record('request');
      response.writeHead(431, { connection: 'close' }).end();
    });
    // Node drops the lines above this number, and a request with that many is refused.
    server.maxHeadersCount = maxHeaderLines + 1;
    const guard = ConnectionGuard.attach(server, limits, report);
    return new HttpServer(server, guard, address);
  }

  /** Opens the port and returns its number. */
  async listen(): Promise<Result<number, ListenFailure>> {
    const [host, port] = this.address.split(':');
    this.server.listen(Number(port), host);
    try {
      await once(this.server, 'listening');
      return ok((this.server.address() as AddressInfo).port);
    } catch (error) {
      return err({ address: this.address, message: (error as Error).message });
    }
  }

  /**
   * Closes the port and waits up to `limitMs` for open requests, then closes the remaining
   * connections. Returns the number of connections that were closed this way.
   */
  async close(clock: Clock, limitMs: number): Promise<number> {
    if (!this.server.listening) return 0;
    let closed = false;
    this.server.once('close', () => {
      closed = true;
    });
    this.guard.stopAccepting();
    const end = clock.now() + limitMs;
    while (!closed && clock.now() < end) {
      this.guard.closeIdle();
      await clock.sleep(closePollMs);
    }
    const left = await this.openConnections();
    this.server.closeAllConnections();
    return left;
  }

  private openConnections(): Promise<number> {
    return new Promise((resolve) => {
      this.server.getConnections((_error, count) => resolve(count ?? 0));
    });
  }
}
