export type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

/** A span of a trace; one for each hop of a request. */
export interface Span {
  /** W3C trace context to pass on. */
  readonly traceparent: string;
  set(fields: Fields): void;
  end(outcome?: string): void;
}

/** Logs, metrics and traces of a process. Metric names are those of docs/operators.md. */
export interface Telemetry {
  /** A log line; `step` and `peer` go into `fields` where they apply. */
  log(event: string, fields?: Fields): void;
  /** Adds `by` (default 1) to a counter. */
  count(name: string, labels?: Fields, by?: number): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, labels?: Fields): void;
  /** Adds an observation, in the unit that the metric's name ends with, to a histogram. */
  observe(name: string, value: number, labels?: Fields): void;
  /** Starts a span; without `parent` it starts a trace. */
  span(name: string, parent?: string, fields?: Fields): Span;
}

const silentSpan: Span = { traceparent: '', set() {}, end() {} };

/** Telemetry that is thrown away. */
export class NoopTelemetry implements Telemetry {
  private constructor() {}

  static create(): NoopTelemetry {
    return new NoopTelemetry();
  }

  log(): void {}

  count(): void {}

  gauge(): void {}

  observe(): void {}

  span(): Span {
    return silentSpan;
  }
}
