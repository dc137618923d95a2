import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  beginUnmarked,
  type BodyRead,
  type BodyReadLimits,
  ClientBytes,
  type ClientMemory,
} from '@currantdrift/http';

/** Time between a response to an incompletely read request and the close of its connection, in ms. */
const lingerMs = 200;

/**
 * Limits for reading and discarding the rest of a request body after an early response, which lets
 * the connection be reused.
 */
const maxUnreadBytes = 1_048_576;
const unreadTimeoutMs = 2_000;

const errorBody = (outcome: string, message: string): Buffer =>
  Buffer.from(JSON.stringify({ error: { message, outcome } }));

const errorHeaders = (retryAfterMs: number | undefined): Record<string, string> => ({
  'content-type': 'application/json',
  ...(retryAfterMs !== undefined && { 'retry-after': (retryAfterMs / 1000).toFixed(2) }),
});

/** A client's request and the response to it. */
export class ClientExchange {
  private readonly leaving = new AbortController();

  private readonly bytes: ClientBytes;

  /** Whether only the end of the connection marks the end of the response. */
  private endsWithConnection = false;

  private constructor(
    readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    memory: ClientMemory,
  ) {
    this.bytes = ClientBytes.create(request, response, memory, () => this.cut());
    response.once('close', () => {
      if (!response.writableFinished) this.leaving.abort(new Error('the client disconnected'));
    });
  }

  static create(
    request: IncomingMessage,
    response: ServerResponse,
    memory: ClientMemory,
  ): ClientExchange {
    return new ClientExchange(request, response, memory);
  }

  /** Aborted when the connection closes before the response is complete. */
  get gone(): AbortSignal {
    return this.leaving.signal;
  }

  /** Calls `listener` once the response is complete or its connection closed. */
  onClose(listener: () => void): void {
    this.response.once('close', listener);
  }

  /** Whether the head of the response was sent. */
  get started(): boolean {
    return this.response.headersSent;
  }

  /** Counts the memory of the request's head; false if there is none left, so it has to be refused. */
  admit(): boolean {
    return this.bytes.admit();
  }

  /** Reads the body until `signal` aborts; unless it is complete the response has to close the connection. */
  body(limits: BodyReadLimits, signal: AbortSignal): Promise<BodyRead> {
    return this.bytes.readBody(limits, signal);
  }

  /** Sends a complete response with its length. */
  answer(status: number, headers: Record<string, string | string[]>, body: Buffer): void {
    if (this.gone.aborted) return;
    this.response.writeHead(status, { ...headers, 'content-length': String(body.length) });
    this.response.end(body);
    this.bytes.countUnread();
  }

  /**
   * Sends an error response of this process as JSON; `retryAfterMs` is the time after which a retry may
   * succeed.
   */
  fail(status: number, outcome: string, reason: string, retryAfterMs?: number): void {
    if (!this.request.complete) this.limitUnreadBody();
    this.answer(status, errorHeaders(retryAfterMs), errorBody(outcome, reason));
  }

  /**
   * Sends an error without reading the remaining body, and closes the connection after `lingerMs`:
   * closing with unread bytes resets the connection, and a client may discard the response on a reset.
   */
  refuseBody(status: number, reason: string, retryAfterMs?: number): void {
    if (this.gone.aborted) return;
    const body = errorBody('refused', reason);
    this.response.writeHead(status, {
      ...errorHeaders(retryAfterMs),
      'content-length': String(body.length),
      connection: 'close',
    });
    this.response.write(body);
    setTimeout(() => this.response.end(), lingerMs);
  }

  /** Closes the connection if the remaining body, which is discarded, is too long or too slow. */
  private limitUnreadBody(): void {
    const { request } = this;
    const close = () => request.socket.destroy();
    const timer = setTimeout(close, unreadTimeoutMs);
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxUnreadBytes) close();
    });
    request.once('close', () => clearTimeout(timer));
    request.once('end', () => clearTimeout(timer));
  }

  /**
   * Begins a response without a length, in chunks. A process that is killed closes its connections in
   * order, so a response that ends with its connection would look complete. Clients of HTTP/1.0 know no
   * chunks.
   */
  begin(status: number, headers: Record<string, string | string[]>): void {
    this.beginWith(status, headers, this.request.httpVersion === '1.0');
  }

  /** Sends a response that ends with its connection, as the endpoint's response did. */
  async answerUnmarked(
    status: number,
    headers: Record<string, string | string[]>,
    body: Buffer,
  ): Promise<void> {
    if (this.gone.aborted) return;
    this.endsWithConnection = true;
    beginUnmarked(this.response, status, headers);
    await this.write(body);
    this.end();
  }

  private beginWith(
    status: number,
    headers: Record<string, string | string[]>,
    endsWithConnection: boolean,
  ): void {
    if (this.gone.aborted) return;
    this.endsWithConnection = endsWithConnection;
    this.response.writeHead(status, headers);
  }

  /**
   * Sends a part of the response; resolves when more can be written, the client has disconnected, or
   * `signal` aborts: a client that stops reading must not keep the place at the endpoint.
   */
  async write(bytes: Buffer, signal?: AbortSignal): Promise<void> {
    if (this.gone.aborted || this.response.write(bytes)) return;
    this.bytes.countUnread();
    if (this.gone.aborted || this.response.destroyed) return;
    const { response } = this;
    await new Promise<void>((resolve) => {
      const finish = () => {
        response.off('drain', finish);
        response.off('close', finish);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      response.once('drain', finish);
      response.once('close', finish);
      signal?.addEventListener('abort', finish, { once: true });
      if (signal?.aborted) finish();
    });
    this.bytes.countUnread();
  }

  end(): void {
    if (!this.gone.aborted) this.response.end();
  }

  /** Closes the connection in a way that marks the response as incomplete. */
  cut(): void {
    // A reset may cost the client what it has not read yet, so it is left to responses that need it.
    if (this.endsWithConnection) this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }
}
