import { err, ok, type Result } from 'neverthrow';
import type { Dispatcher } from 'undici';

export type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Status and headers of a response. */
export interface Head {
  readonly status: number;
  readonly headers: Headers;
}

export interface ExchangeLimits {
  /** Longest time without data from the server, in ms. */
  readonly progressTimeoutMs: number;
  /** Unread bytes above which reading from the server pauses. */
  readonly highWaterBytes: number;
  /** Whether the request may still be sent, asked just before its first byte is written. */
  readonly maySend?: () => boolean;
}

/**
 * One HTTP request and its response, which is read incrementally. Bytes that arrive between two reads
 * are returned together. The progress timeout does not run while reading from the server is paused.
 */
export class Exchange implements Dispatcher.DispatchHandler {
  /** Set just before the first byte of the request is written. */
  sent = false;

  /** Whether the progress timeout ended the exchange. */
  timedOut = false;

  /** Whether the rest of the response is discarded. */
  isDraining = false;

  /** Bytes of the rest of the response that were discarded. */
  private discardedBytes = 0;

  private controller: Dispatcher.DispatchController | undefined;

  private responseHead: Head | undefined;

  private chunks: Buffer[] = [];

  private bufferedBytes = 0;

  private ended = false;

  private error: Error | undefined;

  private wake: (() => void) | undefined;

  private timer: NodeJS.Timeout;

  /** Time of the last received data or of the last resume after a pause. */
  private lastProgressAt = performance.now();

  private constructor(
    private readonly limits: ExchangeLimits,
    private readonly onFinish: () => void,
  ) {
    this.timer = setTimeout(() => this.check(), limits.progressTimeoutMs);
  }

  /** Calls `onFinish` once, when the response is complete or has failed. */
  static create(limits: ExchangeLimits, onFinish: () => void): Exchange {
    return new Exchange(limits, onFinish);
  }

  /** Waits for the status and headers of the response. */
  async head(): Promise<Result<Head, Error>> {
    while (this.responseHead === undefined && this.error === undefined) await this.changed();
    return this.responseHead === undefined
      ? err(this.error ?? new Error('the connection closed before a response'))
      : ok(this.responseHead);
  }

  /** Returns all bytes received since the last read; undefined at the end of the response. */
  async read(): Promise<Result<Buffer | undefined, Error>> {
    while (this.chunks.length === 0 && !this.ended && this.error === undefined) {
      await this.changed();
    }
    if (this.chunks.length > 0) return ok(this.takeChunks());
    return this.error === undefined ? ok(undefined) : err(this.error);
  }

  /** Ends the exchange and closes its connection, unless the response is complete. */
  stop(reason: Error): void {
    if (this.ended || this.error !== undefined) return;
    this.fail(reason);
    this.controller?.abort(reason);
  }

  /** Discards the rest of the response, so that the connection can be reused. */
  drain(): void {
    this.isDraining = true;
    this.takeChunks();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.limits.maySend?.() === false)
      this.fail(new Error('the request may not be sent any more'));
    if (this.error !== undefined) {
      controller.abort(this.error);
      return;
    }
    this.controller = controller;
    this.sent = true;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Headers,
  ): void {
    this.lastProgressAt = performance.now();
    this.responseHead = { status, headers };
    this.notify();
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.lastProgressAt = performance.now();
    if (this.isDraining) {
      this.discard(chunk);
      return;
    }
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes > this.limits.highWaterBytes) controller.pause();
    this.notify();
  }

  onResponseEnd(): void {
    if (this.error !== undefined) return;
    this.ended = true;
    this.finish();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.fail(error);
  }

  /** Reusing a connection is worth a short rest of a response only. */
  private discard(chunk: Buffer): void {
    this.discardedBytes += chunk.length;
    if (this.discardedBytes > this.limits.highWaterBytes) {
      this.stop(new Error('the rest of the response is too long to discard'));
    }
  }

  private takeChunks(): Buffer {
    const bytes = this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks);
    this.chunks = [];
    this.bufferedBytes = 0;
    if (this.controller?.paused) {
      this.lastProgressAt = performance.now();
      this.controller.resume();
    }
    return bytes;
  }

  /** Checks progress once per timeout, which avoids restarting a timer for each chunk. */
  private check(): void {
    const { progressTimeoutMs } = this.limits;
    const leftMs = this.lastProgressAt + progressTimeoutMs - performance.now();
    if (leftMs > 0 || this.controller?.paused) {
      this.timer = setTimeout(() => this.check(), leftMs > 0 ? leftMs : progressTimeoutMs);
      return;
    }
    // If this process was paused, received bytes may still wait in the socket. The event loop reads
    // them before it runs this callback.
    setImmediate(() => {
      if (this.ended || this.error !== undefined) return;
      if (this.lastProgressAt + progressTimeoutMs > performance.now()) this.check();
      else this.failOnTimeout();
    });
  }

  private failOnTimeout(): void {
    this.timedOut = true;
    this.stop(new Error(`no data received for ${this.limits.progressTimeoutMs} ms`));
  }

  private fail(error: Error): void {
    if (this.ended || this.error !== undefined) return;
    this.error = error;
    this.finish();
  }

  private finish(): void {
    clearTimeout(this.timer);
    this.onFinish();
    this.notify();
  }

  private changed(): Promise<void> {
    return new Promise((resolve) => {
      this.wake = resolve;
    });
  }

  private notify(): void {
    const { wake } = this;
    this.wake = undefined;
    wake?.();
  }
}
