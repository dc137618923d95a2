import type { Dispatcher } from 'undici';

/** A whole answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

/** Largest answer that is read, in bytes; above the largest value and the largest list. */
const maxAnswerBytes = 16_000_000;

/** Collects one answer. `sent` turns true just before the first byte is written. */
export class Exchange implements Dispatcher.DispatchHandler {
  sent = false;

  private stopped: Error | undefined;

  private controller: Dispatcher.DispatchController | undefined;

  private status = 0;

  private headers: HttpAnswer['headers'] = {};

  private readonly chunks: Buffer[] = [];

  private size = 0;

  private constructor(
    private readonly done: (answer: HttpAnswer) => void,
    private readonly failed: (error: Error) => void,
  ) {}

  /** Calls `done` or `failed`; `failed` possibly more than once. */
  static create(done: (answer: HttpAnswer) => void, failed: (error: Error) => void): Exchange {
    return new Exchange(done, failed);
  }

  /** Fails the exchange and closes its connection. */
  stop(reason: Error): void {
    this.stopped = reason;
    this.controller?.abort(reason);
    this.failed(reason);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.stopped !== undefined) {
      controller.abort(this.stopped);
      return;
    }
    this.controller = controller;
    this.sent = true;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: HttpAnswer['headers'],
  ): void {
    this.status = status;
    this.headers = headers;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.size += chunk.length;
    if (this.size > maxAnswerBytes) this.stop(new Error('the answer is too large'));
    else this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    this.done({ status: this.status, headers: this.headers, body: Buffer.concat(this.chunks) });
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.failed(error);
  }
}
