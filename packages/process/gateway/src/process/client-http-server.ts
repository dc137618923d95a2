import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { ConnectionGuard, type ConnectionLimits, type ShedReport } from '@currantdrift/http';
import type { ClientLimits } from '@currantdrift/routes';
import { err, ok, type Result } from 'neverthrow';

/** Address that could not be listened on, and the reason. */
export interface ListenFailure {
  readonly address: string;
  readonly message: string;
}

/** Header size allowed on top of the client limit, for headers added by proxies, in bytes. */
const extraHeaderBytes = 16_384;

/** Interval between checks for connections whose headers are overdue, in ms. */
const headerCheckIntervalMs = 1_000;

/** Length of the queue of connections that are not yet accepted. */
const backlog = 1024;

/** Keep-alive timeout before a configuration is known, in ms. */
const initialIdleMs = 60_000;

/**
 * The HTTP server for clients. It uses `node:http` without a framework, because a truncated response
 * must close its connection, and because bodies are passed through unchanged.
 */
export class ClientHttpServer {
  private stopping = false;

  private constructor(
    private readonly server: Server,
    private readonly guard: ConnectionGuard,
  ) {}

  static create(
    handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>,
    onError: (error: unknown) => void,
    limits: ConnectionLimits,
    report: ShedReport,
  ): ClientHttpServer {
    const server = createServer({
      keepAliveTimeout: initialIdleMs,
      requestTimeout: 0,
      connectionsCheckingInterval: headerCheckIntervalMs,
      noDelay: true,
      maxHeaderSize: extraHeaderBytes * 2,
      highWaterMark: 65_536,
    });
    // By default Node drops the header lines above a number; the size of the head limits them, too.
    server.maxHeadersCount = 0;
    const guard = ConnectionGuard.attach(server, limits, report);
    const clientServer = new ClientHttpServer(server, guard);
    server.on('request', (request, response) => {
      if (clientServer.stopping) response.shouldKeepAlive = false;
      handle(request, response).catch((error: unknown) => {
        onError(error);
        response.destroy();
      });
    });
    // An error on a client's connection is not an error of this process, so it is not logged.
    server.on('clientError', (_error, socket) => {
      if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n');
      else socket.destroy();
    });
    return clientServer;
  }

  listen(address: string): Promise<Result<void, ListenFailure>> {
    const [host, port] = address.split(':');
    return new Promise((resolve) => {
      this.server.once('error', (error) => resolve(err({ address, message: error.message })));
      this.server.listen({ port: Number(port), host, backlog }, () => resolve(ok(undefined)));
    });
  }

  /** Applies the client timeouts of the configuration. */
  limit(limits: ClientLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  /** From now on each response closes its connection. */
  beginStop(): void {
    this.stopping = true;
  }

  /** Closes kept connections without a request in progress. */
  closeIdle(): void {
    this.guard.closeIdle();
  }

  /** Stops accepting connections. */
  stopAccepting(): void {
    this.guard.stopAccepting();
  }

  connections(): Promise<number> {
    return new Promise((resolve) => {
      this.server.getConnections((_error, count) => resolve(count ?? 0));
    });
  }
}
