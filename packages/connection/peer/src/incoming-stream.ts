import type { Failure, Message, PeerStream } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { Arrivals } from './arrivals';
import { pull, type Pulled } from './pull';

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

  private current: Batch | undefined;

  /** Parts of the current batch that were given out. */
  private place = 0;

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
    return pull<Result<Message, Failure>>({
      take: () => this.take(),
      changed: () => this.batches.changed(),
      stop: () => this.cancel(),
    });
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

  private take(): Pulled<Result<Message, Failure>> {
    if (this.cancelled) return { kind: 'end' };
    const { current } = this;
    if (current !== undefined && this.place === current.parts.length) {
      this.current = undefined;
      this.giveBack(current.bytes);
    }
    if (this.current === undefined) {
      this.current = this.batches.take();
      this.place = 0;
    }
    if (this.current === undefined) return this.ending();
    // A last frame may have no parts.
    if (this.current.parts.length === 0) return this.take();
    this.place += 1;
    return { kind: 'value', value: ok(this.current.parts[this.place - 1]) };
  }

  private ending(): Pulled<Result<Message, Failure>> {
    if (!this.batches.isEnded) return { kind: 'empty' };
    const { failure } = this;
    this.failure = undefined;
    return failure === undefined ? { kind: 'end' } : { kind: 'value', value: err(failure) };
  }

  /** Credit goes back in quarters of the window: fewer frames, and the sender never runs dry. */
  private giveBack(bytes: number): void {
    this.ungranted += bytes;
    if (!this.open || this.ungranted < this.windowBytes / 4) return;
    this.control.grant(this.ungranted);
    this.ungranted = 0;
  }
}
