import type { Failure, Message, PeerStream } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { Arrivals } from './arrivals';

interface Batch {
  readonly parts: readonly Message[];
  readonly bytes: number;
}

/** What a stream needs of its connection. */
export interface StreamControl {
  grant(bytes: number): void;
  cancel(): void;
}

/** The reading end of a stream. Gives credit back as its consumer takes parts. */
export class IncomingStream implements PeerStream {
  private readonly batches = new Arrivals<Batch>();

  private failure: Failure | undefined;

  private ungranted = 0;

  private open = true;

  private cancelled = false;

  private readonly onAbort = () => this.cancel();

  private constructor(
    private readonly control: StreamControl,
    private readonly windowBytes: number,
    private readonly signal: AbortSignal,
  ) {
    signal.addEventListener('abort', this.onAbort, { once: true });
  }

  /** The stream is cancelled when `signal` aborts. */
  static create(control: StreamControl, windowBytes: number, signal: AbortSignal): IncomingStream {
    return new IncomingStream(control, windowBytes, signal);
  }

  get parts(): AsyncIterable<Result<Message, Failure>> {
    return this.read();
  }

  cancel(): void {
    if (!this.open) return;
    this.open = false;
    this.cancelled = true;
    this.batches.drop();
    this.control.cancel();
    this.signal.removeEventListener('abort', this.onAbort);
  }

  receive(parts: readonly Message[], bytes: number): void {
    this.batches.push({ parts, bytes });
  }

  /** Ends the stream after what has arrived; with `failure` it ends by that failure. */
  finish(failure?: Failure): void {
    if (!this.open) return;
    this.open = false;
    this.failure = failure;
    this.batches.end();
    this.signal.removeEventListener('abort', this.onAbort);
  }

  private async *read(): AsyncGenerator<Result<Message, Failure>> {
    try {
      for await (const { parts, bytes } of this.batches) {
        for (const part of parts) {
          yield ok(part);
          if (this.cancelled) return;
        }
        this.giveBack(bytes);
      }
      if (this.failure !== undefined) yield err(this.failure);
    } finally {
      this.cancel();
    }
  }

  /** Credit goes back in quarters of the window: fewer frames, and the sender never runs dry. */
  private giveBack(bytes: number): void {
    this.ungranted += bytes;
    if (!this.open || this.ungranted < this.windowBytes / 4) return;
    this.control.grant(this.ungranted);
    this.ungranted = 0;
  }
}
