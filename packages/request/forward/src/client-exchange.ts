import type { IncomingMessage, ServerResponse } from 'node:http';

/** Time between an answer in place of the rest of a body and the close of the connection, in ms. */
const lingerMs = 200;

/** Rest of a body that is read after an early answer, so that the connection can be used again. */
const maxRestBytes = 1_048_576;
const restTimeoutMs = 2_000;

const errorBody = (outcome: string, message: string): Buffer =>
  Buffer.from(JSON.stringify({ error: { message, outcome } }));

/** Reads of a client's request body end with one of these. */
export type BodyRead =
  | { readonly kind: 'whole'; readonly body: Buffer }
  | { readonly kind: 'too_large' }
  | { readonly kind: 'late' }
  | { readonly kind: 'gone' };

/** What marks the end of an answer whose length is not known at its start. */
export const Framing = {
  /** Chunked transfer coding. */
  chunks: 'chunks',
  /** The end of the connection. */
  connection: 'connection',
} as const;
export type Framing = (typeof Framing)[keyof typeof Framing];

/** A request of a client and the connection to answer it on. */
export class ClientExchange {
  private readonly leaving = new AbortController();

  private framing: Framing = Framing.chunks;

  private constructor(
    readonly request: IncomingMessage,
    private readonly response: ServerResponse,
  ) {
    response.once('close', () => {
      if (!response.writableFinished) this.leaving.abort(new Error('the client has left'));
    });
  }

  static create(request: IncomingMessage, response: ServerResponse): ClientExchange {
    return new ClientExchange(request, response);
  }

  /** Aborted when the client closes the connection before the answer is complete. */
  get gone(): AbortSignal {
    return this.leaving.signal;
  }

  /** Whether a byte of the answer was handed to the connection. */
  get started(): boolean {
    return this.response.headersSent;
  }

  /**
   * Reads the body until `isLate` aborts. After `too_large` and `late` nothing more is read, so the answer
   * has to close the connection.
   */
  body(maxBytes: number, isLate: AbortSignal): Promise<BodyRead> {
    const { request } = this;
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let size = 0;
      const done = new AbortController();
      const finish = (read: BodyRead) => {
        done.abort();
        if (read.kind === 'too_large' || read.kind === 'late') request.pause();
        resolve(read);
      };
      request.on('data', (chunk: Buffer) => {
        if (done.signal.aborted) return;
        size += chunk.length;
        if (size > maxBytes) finish({ kind: 'too_large' });
        else chunks.push(chunk);
      });
      request.once('end', () => finish({ kind: 'whole', body: Buffer.concat(chunks) }));
      // The stream fails only when the client's connection does.
      request.once('error', () => finish({ kind: 'gone' }));
      request.once('close', () => finish({ kind: 'gone' }));
      isLate.addEventListener('abort', () => finish({ kind: 'late' }), { signal: done.signal });
    });
  }

  /** Sends a whole answer with its length. */
  answer(status: number, headers: Record<string, string | string[]>, body: Buffer): void {
    if (this.gone.aborted) return;
    this.response.writeHead(status, { ...headers, 'content-length': String(body.length) });
    this.response.end(body);
  }

  /** Sends an error of this system; `retryAfterMs` says when another try may succeed. */
  fail(status: number, outcome: string, reason: string, retryAfterMs?: number): void {
    if (!this.request.complete) this.limitRest();
    const headers: Record<string, string> = { 'content-type': 'application/json' };
    if (retryAfterMs !== undefined) headers['retry-after'] = (retryAfterMs / 1000).toFixed(2);
    this.answer(status, headers, errorBody(outcome, reason));
  }

  /**
   * Sends an error in place of the rest of a body that is not read, and closes the connection a moment
   * later: a close with unread bytes is a reset, which can overtake the answer.
   */
  refuseBody(status: number, reason: string): void {
    if (this.gone.aborted) return;
    const body = errorBody('refused', reason);
    this.response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': String(body.length),
      connection: 'close',
    });
    this.response.write(body);
    setTimeout(() => this.response.end(), lingerMs);
  }

  /** Ends the connection if the rest of a body that nobody needs is long or slow. */
  private limitRest(): void {
    const { request } = this;
    const close = () => request.socket.destroy();
    const timer = setTimeout(close, restTimeoutMs);
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxRestBytes) close();
    });
    request.once('close', () => clearTimeout(timer));
    request.once('end', () => clearTimeout(timer));
  }

  /**
   * Begins an answer. One without a length ends with the connection, as the endpoint's did: nobody can
   * tell whether it is whole, and a length added here would say that it is.
   */
  begin(status: number, headers: Record<string, string | string[]>, framing: Framing): void {
    if (this.gone.aborted) return;
    if (framing === Framing.connection) {
      this.response.useChunkedEncodingByDefault = false;
      this.response.shouldKeepAlive = false;
    }
    this.framing = framing;
    this.response.writeHead(status, headers);
  }

  /** Sends a part of the answer; resolves when the client has room for more, or has left. */
  async write(bytes: Buffer): Promise<void> {
    if (this.gone.aborted || this.response.write(bytes)) return;
    await new Promise<void>((resolve) => {
      this.response.once('drain', resolve);
      this.response.once('close', resolve);
    });
  }

  end(): void {
    if (!this.gone.aborted) this.response.end();
  }

  /** Closes the connection so that the answer cannot be taken for complete. */
  cut(): void {
    // An answer that ends with its connection is complete unless the connection is reset.
    if (this.framing === Framing.connection) this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }
}
