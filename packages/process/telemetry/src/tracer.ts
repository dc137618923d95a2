import { type Fields, NoopTelemetry, type Span } from '@currantdrift/core';

/** Starts the spans of a process. */
export interface Tracer {
  start(name: string, parent: string | undefined, fields: Fields | undefined): Span;
  /** Exports what is finished and stops. */
  close(): Promise<void>;
}

/** Records no spans, and needs none of the libraries that do. */
export class NoopTracer implements Tracer {
  private readonly silent = NoopTelemetry.create();

  private constructor() {}

  static create(): NoopTracer {
    return new NoopTracer();
  }

  start(): Span {
    return this.silent.span();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
