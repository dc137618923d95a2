import { FailureKind, type Message } from '@currantdrift/core';

/** Result of writing a frame. `too_large` leaves the connection usable. */
export type Written = 'sent' | 'closed' | 'too_large';

/** What a stream needs of its connection. */
export interface StreamSink {
  /** `bytes` is the size of the frame when it was sent. */
  parts(parts: readonly Message[], last: boolean): { written: Written; bytes: number };
  fail(kind: FailureKind, message: string): void;
}

/** Most parts in one frame. */
const maxBatchParts = 64;

/** Promise turns within which a next part counts as ready; an async generator takes 3. */
const readyTurns = 4;

interface Step {
  result?: IteratorResult<Message>;
  readonly promise: Promise<IteratorResult<Message>>;
}

const take = (iterator: AsyncIterator<Message>): Step => {
  const step: Step = { promise: iterator.next() };
  step.promise.then(
    (result) => {
      step.result = result;
    },
    () => {},
  );
  return step;
};

const isReady = async (step: Step): Promise<boolean> => {
  for (let turn = 0; turn < readyTurns && step.result === undefined; turn += 1) {
    await Promise.resolve();
  }
  return step.result !== undefined;
};

/** The writing end of a stream. Takes parts from its source only as credit allows. */
export class OutgoingStream {
  readonly cancellation = new AbortController();

  private wake: () => void = () => {};

  private constructor(
    private readonly sink: StreamSink,
    private credit: number,
  ) {}

  /** `credit` is the number of bytes that may be sent before more is granted. */
  static create(sink: StreamSink, credit: number): OutgoingStream {
    return new OutgoingStream(sink, credit);
  }

  grant(bytes: number): void {
    this.credit += bytes;
    if (this.credit > 0) this.wake();
  }

  /** Stops sending and tells the source. */
  cancel(): void {
    this.cancellation.abort();
    this.wake();
  }

  /** Sends what `source` gives until it ends, the stream is cancelled or the connection closes. */
  async run(source: AsyncIterable<Message>): Promise<void> {
    const iterator = source[Symbol.asyncIterator]();
    try {
      const whole = await this.relay(iterator);
      if (!whole) iterator.return?.().catch(() => {});
    } catch (error) {
      this.sink.fail(FailureKind.unknown, `the source of the stream failed: ${String(error)}`);
    }
  }

  /** Gives true when the source ended. */
  private async relay(iterator: AsyncIterator<Message>): Promise<boolean> {
    let step = take(iterator);
    for (;;) {
      const batch: Message[] = [];
      let result = await step.promise;
      while (!result.done) {
        batch.push(result.value);
        step = take(iterator);
        if (batch.length >= maxBatchParts || !(await isReady(step))) break;
        result = await step.promise;
      }
      const last = result.done === true;
      await this.credited();
      if (this.cancellation.signal.aborted) return last;
      if (!this.send(batch, last)) return last;
      if (last) return true;
    }
  }

  private async credited(): Promise<void> {
    while (this.credit <= 0 && !this.cancellation.signal.aborted) {
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
  }

  /** False if the stream cannot go on. A batch that is too large goes out part by part. */
  private send(batch: readonly Message[], last: boolean): boolean {
    const { written, bytes } = this.sink.parts(batch, last);
    if (written === 'sent') this.credit -= bytes;
    if (written !== 'too_large') return written === 'sent';
    if (batch.length > 1) {
      const end = batch.length - 1;
      return batch.every((part, index) => this.send([part], last && index === end));
    }
    this.sink.fail(FailureKind.unknown, `a part of ${bytes} bytes is larger than allowed`);
    return false;
  }
}
