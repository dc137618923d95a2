/** Fields of a log line or span, or labels of a metric. */
export type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

/** A span of a trace; each hop of a request has one. */
export interface Span {
  /** W3C trace context to propagate to the next hop. */
  readonly traceparent: string;
  set(fields: Fields): void;
  end(outcome?: string): void;
}

/** Logs, metrics and traces of a process. docs/operators.md lists the metric names. */
export interface Telemetry {
  /** Writes a log line. `fields` includes `step` and `peer` where they apply. */
  log(event: string, fields?: Fields): void;
  /** Adds `by` (default 1) to a counter. */
  count(name: string, labels?: Fields, by?: number): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, labels?: Fields): void;
  /** Adds an observation to a histogram, in the unit that ends the metric name. */
  observe(name: string, value: number, labels?: Fields): void;
  /** Starts a span; without `parent` it starts a new trace. */
  span(name: string, parent?: string, fields?: Fields): Span;
}

const noopSpan: Span = { traceparent: '', set() {}, end() {} };

/** Telemetry that discards everything. */
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
    return noopSpan;
  }
}
