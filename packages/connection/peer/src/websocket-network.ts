import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import {
  type Channel,
  type Failure,
  FailureKind,
  type Listener,
  type Network,
} from '@currantdrift/core';
import { type ClientMemory, ConnectionGuard } from '@currantdrift/http';
import { err, ok, type Result } from 'neverthrow';
import { WebSocket, WebSocketServer } from 'ws';
import { WebSocketChannel } from './websocket-channel';

export interface WebSocketSettings {
  /** Largest message in either direction, in bytes. */
  readonly maxMessageBytes: number;
  /** Time for the TCP connection and the WebSocket handshake, in ms. */
  readonly connectTimeoutMs: number;
  /** Accepted connections that may be open. */
  readonly maxConnections: number;
  /** Memory in which messages count that are being received; undefined for no limit. */
  readonly memory?: ClientMemory;
}

const defaults: WebSocketSettings = {
  maxMessageBytes: 4 * 1024 * 1024,
  connectTimeoutMs: 2000,
  maxConnections: Infinity,
};

/** Counts the bytes of incomplete messages; the connection closes if there is no memory for them. */
const countMessages = (webSocket: WebSocket, socket: Socket, memory: ClientMemory): void => {
  const close = () => {
    memory.report.record('message');
    webSocket.terminate();
  };
  const held = memory.budget.hold(close);
  socket.prependListener('data', (chunk: Buffer) => {
    if (!held.tryAdd(chunk.length)) close();
  });
  webSocket.on('message', () => held.resize(0));
  webSocket.once('close', () => held.release());
};

/** Time for the close handshakes when a listener ends, in ms. */
const closeTimeoutMs = 1000;

/** Splits `ip:port`; an IPv6 address stands in brackets. */
const parseAddress = (address: string): { host: string; port: number } | undefined => {
  const colon = address.lastIndexOf(':');
  const port = Number(address.slice(colon + 1));
  const host = address.slice(0, Math.max(0, colon)).replace(/^\[|\]$/gu, '');
  const valid = host !== '' && Number.isInteger(port) && port >= 0 && port <= 65_535;
  return valid ? { host, port } : undefined;
};

const failure = (step: string, peer: string, message: string, kind: Failure['kind']): Failure => ({
  kind,
  step,
  peer,
  message,
});

/** Connections over WebSockets (RFC 6455) without compression. */
export class WebSocketNetwork implements Network {
  private constructor(private readonly settings: WebSocketSettings) {}

  static create(settings: Partial<WebSocketSettings> = {}): WebSocketNetwork {
    return new WebSocketNetwork({ ...defaults, ...settings });
  }

  /** Fails with `unreachable`: nothing was sent on a connection that did not open. */
  connect(address: string, signal?: AbortSignal): Promise<Result<Channel, Failure>> {
    const fail = (message: string) =>
      err(failure('network.connect', address, message, FailureKind.unreachable));
    if (parseAddress(address) === undefined) {
      return Promise.resolve(fail('the address is not of the form ip:port'));
    }
    if (signal?.aborted) return Promise.resolve(fail('the attempt was given up'));
    const { maxMessageBytes, connectTimeoutMs } = this.settings;
    return new Promise((resolve) => {
      let socket: Socket | undefined;
      const webSocket = new WebSocket(`ws://${address}/`, {
        perMessageDeflate: false,
        maxPayload: maxMessageBytes,
        handshakeTimeout: connectTimeoutMs,
      });
      webSocket.once('upgrade', (response) => {
        socket = response.socket;
      });
      const giveUp = () => webSocket.terminate();
      signal?.addEventListener('abort', giveUp, { once: true });
      const finish = (result: Result<Channel, Failure>) => {
        signal?.removeEventListener('abort', giveUp);
        resolve(result);
      };
      webSocket.once('error', (error) => finish(fail(error.message)));
      webSocket.once('open', () => {
        if (socket === undefined) finish(fail('the WebSocket opened without a socket'));
        else finish(ok(WebSocketChannel.create(address, webSocket, socket, maxMessageBytes)));
      });
    });
  }

  /** Fails with `refused` if the address cannot be listened on. Port 0 takes any free port. */
  listen(address: string, accept: (channel: Channel) => void): Promise<Result<Listener, Failure>> {
    const fail = (message: string) =>
      err(failure('network.listen', address, message, FailureKind.refused));
    const parsed = parseAddress(address);
    if (parsed === undefined) {
      return Promise.resolve(fail('the address is not of the form ip:port'));
    }
    const { maxMessageBytes, maxConnections, memory } = this.settings;
    return new Promise((resolve) => {
      const http = createServer((_request, response) => {
        response.writeHead(426, { connection: 'close' }).end();
      });
      const guard = memory && ConnectionGuard.attach(http, { maxConnections }, memory.report);
      const server = new WebSocketServer({
        server: http,
        perMessageDeflate: false,
        maxPayload: maxMessageBytes,
      });
      server.on('connection', (webSocket, request) => {
        const { socket } = request;
        if (memory !== undefined) countMessages(webSocket, socket, memory);
        webSocket.on('message', () => guard?.touch(socket));
        const from = `${socket.remoteAddress ?? ''}:${socket.remotePort ?? 0}`;
        accept(WebSocketChannel.create(from, webSocket, socket, maxMessageBytes));
      });
      const close = () =>
        new Promise<void>((closed) => {
          server.clients.forEach((client) => client.close());
          // A client that does not run does not answer a close frame.
          const overdue = setTimeout(
            () => server.clients.forEach((client) => client.terminate()),
            closeTimeoutMs,
          );
          server.close();
          http.close(() => {
            clearTimeout(overdue);
            closed();
          });
        });
      server.once('listening', () => resolve(ok({ close })));
      http.listen(parsed.port, parsed.host);
      server.on('error', (error) => resolve(fail(error.message)));
    });
  }
}
