import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { ClientLimits } from '@currantdrift/routes';
import { err, ok, type Result } from 'neverthrow';

/** Why a port could not be opened. */
export interface ListenFailure {
  readonly address: string;
  readonly message: string;
}

/** Room for the headers that hops add beyond what a client may send, in bytes. */
const extraHeaderBytes = 16_384;

/** Pause between two looks for connections whose headers are late, in ms. */
const headerCheckIntervalMs = 1_000;

/** Connections that may wait to be accepted. */
const backlog = 1024;

/** The limits before a configuration is known. */
const initialIdleMs = 60_000;

/**
 * The HTTP server for clients. It is the server of Node.js without a framework, because answers that
 * break off must close their connection, and bytes pass through unchanged.
 */
export class ClientHttpServer {
  private stopping = false;

  private constructor(private readonly server: Server) {}

  static create(
    handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>,
    onError: (error: unknown) => void,
  ): ClientHttpServer {
    const server = createServer({
      keepAliveTimeout: initialIdleMs,
      requestTimeout: 0,
      connectionsCheckingInterval: headerCheckIntervalMs,
      noDelay: true,
      maxHeaderSize: extraHeaderBytes * 2,
      highWaterMark: 65_536,
    });
    const clientServer = new ClientHttpServer(server);
    server.on('request', (request, response) => {
      if (clientServer.stopping) response.shouldKeepAlive = false;
      handle(request, response).catch((error: unknown) => {
        onError(error);
        response.destroy();
      });
    });
    // A client that breaks its connection is no error of this process.
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

  /** Applies what the configuration allows clients. */
  limit(limits: ClientLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  /** Answers from now on close their connections. */
  beginStop(): void {
    this.stopping = true;
  }

  /** Opens no more connections, and closes those that carry no request. */
  stopAccepting(): void {
    if (this.server.listening) this.server.close();
    this.server.closeIdleConnections();
  }

  connections(): Promise<number> {
    return new Promise((resolve) => {
      this.server.getConnections((_error, count) => resolve(count ?? 0));
    });
  }
}
