import { once } from 'node:events';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Clock } from '@currantdrift/core';
import { createAdaptorServer } from '@hono/node-server';
import { err, ok, type Result } from 'neverthrow';

/** Time for a request's headers, in ms; a body has a time of its own. */
const headersTimeoutMs = 10_000;

/** Time after which an unused connection is closed, in ms. */
const keepAliveMs = 30_000;

const closePollMs = 50;

/** Why a port could not be opened. */
export interface ListenFailure {
  readonly address: string;
  readonly message: string;
}

/** An HTTP server of the daemon that can stop without cutting requests. */
export class HttpServer {
  private constructor(
    private readonly server: Server,
    private readonly address: string,
  ) {}

  /** `fetch` answers the requests; `address` is `ip:port`. */
  static create(
    fetch: Parameters<typeof createAdaptorServer>[0]['fetch'],
    address: string,
  ): HttpServer {
    const server = createAdaptorServer({
      fetch,
      serverOptions: {
        headersTimeout: headersTimeoutMs,
        keepAliveTimeout: keepAliveMs,
        // The body's time limit is kept by the reader, which answers with an error of its own.
        requestTimeout: 0,
        noDelay: true,
      },
    }) as Server;
    return new HttpServer(server, address);
  }

  /** Opens the port; gives the port number. */
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
   * Closes the port and waits for open requests up to `limitMs`, then cuts what is left.
   * Gives the number of connections that were cut.
   */
  async close(clock: Clock, limitMs: number): Promise<number> {
    if (!this.server.listening) return 0;
    let closed = false;
    this.server.close(() => {
      closed = true;
    });
    const end = clock.now() + limitMs;
    while (!closed && clock.now() < end) {
      this.server.closeIdleConnections();
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
