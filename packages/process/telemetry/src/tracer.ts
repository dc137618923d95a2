import { type Fields, SilentTelemetry, type Span } from '@currantdrift/core';

/** Starts the spans of a process. */
export interface Tracer {
  start(name: string, parent: string | undefined, fields: Fields | undefined): Span;
  /** Exports what is finished and stops. */
  close(): Promise<void>;
}

/** Records no spans, and needs none of the libraries that do. */
export class NoTracer implements Tracer {
  private readonly silent = SilentTelemetry.create();

  private constructor() {}

  static create(): NoTracer {
    return new NoTracer();
  }

  start(): Span {
    return this.silent.span();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
