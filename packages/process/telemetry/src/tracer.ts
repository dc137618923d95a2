import { type Fields, NoopTelemetry, type Span } from '@currantdrift/core';

/** Starts the spans of a process. */
export interface Tracer {
  start(name: string, parent: string | undefined, fields: Fields | undefined): Span;
  /** Exports finished spans and shuts down. */
  close(): Promise<void>;
}

/** Records no spans and does not load the tracing libraries. */
export class NoopTracer implements Tracer {
  private readonly noop = NoopTelemetry.create();

  private constructor() {}

  static create(): NoopTracer {
    return new NoopTracer();
  }

  start(): Span {
    return this.noop.span();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
