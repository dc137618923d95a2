import { err, ok, type Result } from 'neverthrow';
import type { Dispatcher } from 'undici';

export type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Head of an answer. */
export interface Head {
  readonly status: number;
  readonly headers: Headers;
}

export interface ExchangeLimits {
  /** Longest time without a byte from the server, in ms. */
  readonly progressTimeoutMs: number;
  /** Unread bytes above which the server is held back. */
  readonly highWaterBytes: number;
}

/**
 * One HTTP request and its answer, read in steps. Bytes that arrive between two reads are handed
 * on together. The progress timeout does not run while the reader holds the server back.
 */
export class Exchange implements Dispatcher.DispatchHandler {
  /** True from just before the first byte is written. */
  sent = false;

  /** True if the progress timeout ended the exchange. */
  timedOut = false;

  /** True if the rest of the answer is thrown away. */
  isDraining = false;

  private controller: Dispatcher.DispatchController | undefined;

  private responseHead: Head | undefined;

  private chunks: Buffer[] = [];

  private bufferedBytes = 0;

  private ended = false;

  private error: Error | undefined;

  private wake: (() => void) | undefined;

  private timer: NodeJS.Timeout;

  /** When the last byte came or the reader stopped holding the server back. */
  private lastProgressAt = performance.now();

  private constructor(
    private readonly limits: ExchangeLimits,
    private readonly onFinish: () => void,
  ) {
    this.timer = setTimeout(() => this.check(), limits.progressTimeoutMs);
  }

  /** Calls `onFinish` once, when the answer is complete or has failed. */
  static create(limits: ExchangeLimits, onFinish: () => void): Exchange {
    return new Exchange(limits, onFinish);
  }

  /** Waits for the head of the answer. */
  async head(): Promise<Result<Head, Error>> {
    while (this.responseHead === undefined && this.error === undefined) await this.changed();
    return this.responseHead === undefined
      ? err(this.error ?? new Error('the connection closed without an answer'))
      : ok(this.responseHead);
  }

  /** All bytes that have arrived since the last read; undefined at the end of the answer. */
  async read(): Promise<Result<Buffer | undefined, Error>> {
    while (this.chunks.length === 0 && !this.ended && this.error === undefined) {
      await this.changed();
    }
    if (this.chunks.length > 0) return ok(this.takeChunks());
    return this.error === undefined ? ok(undefined) : err(this.error);
  }

  /** Ends the exchange and closes its connection, unless the answer is complete. */
  stop(reason: Error): void {
    if (this.ended || this.error !== undefined) return;
    this.fail(reason);
    this.controller?.abort(reason);
  }

  /** Throws the rest of the answer away, so that the connection can be used again. */
  drain(): void {
    this.isDraining = true;
    this.takeChunks();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
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
    if (this.isDraining) return;
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

  /** Checks the progress once per timeout, in place of a timer that each chunk restarts. */
  private check(): void {
    const { progressTimeoutMs } = this.limits;
    const leftMs = this.lastProgressAt + progressTimeoutMs - performance.now();
    if (leftMs > 0 || this.controller?.paused) {
      this.timer = setTimeout(() => this.check(), leftMs > 0 ? leftMs : progressTimeoutMs);
      return;
    }
    // After a pause of this process, bytes may wait in the socket: they are read before this runs.
    setImmediate(() => {
      if (this.ended || this.error !== undefined) return;
      if (this.lastProgressAt + progressTimeoutMs > performance.now()) this.check();
      else this.failOnTimeout();
    });
  }

  private failOnTimeout(): void {
    this.timedOut = true;
    this.stop(new Error(`no byte in ${this.limits.progressTimeoutMs} ms`));
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
