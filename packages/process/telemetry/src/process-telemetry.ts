import type { Clock, Fields, Span, Telemetry } from '@currantdrift/core';
import { JsonLog, type LineWriter } from './log';
import { MetricRegistry } from './registry';
import type { Tracer } from './tracer';

export interface TelemetryOptions {
  readonly clock: Clock;
  /** Fields of every log line, such as the daemon's name and domain. */
  readonly commonFields: Fields;
  readonly tracer: Tracer;
  /** Where log lines go; standard error by default. */
  readonly write?: LineWriter;
}

/** Logs, metrics and traces of a daemon. */
export class ProcessTelemetry implements Telemetry {
  private constructor(
    private readonly clock: Clock,
    private readonly lines: JsonLog,
    private readonly tracer: Tracer,
    readonly metrics: MetricRegistry,
  ) {}

  static create(options: TelemetryOptions): ProcessTelemetry {
    return new ProcessTelemetry(
      options.clock,
      JsonLog.create('currantdrift:daemon', options.commonFields, options.write),
      options.tracer,
      MetricRegistry.create(),
    );
  }

  log(event: string, fields?: Fields): void {
    this.lines.write(event, fields, this.clock.now());
  }

  count(name: string, labels?: Fields, by = 1): void {
    this.metrics.count(name, labels, by);
  }

  gauge(name: string, value: number, labels?: Fields): void {
    this.metrics.gauge(name, value, labels);
  }

  observe(name: string, value: number, labels?: Fields): void {
    this.metrics.observe(name, value, labels);
  }

  span(name: string, parent?: string, fields?: Fields): Span {
    return this.tracer.start(name, parent, fields);
  }

  /** Exports what is still held back. */
  close(): Promise<void> {
    return this.tracer.close();
  }
}
