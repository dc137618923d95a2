import { createWriteStream } from 'node:fs';
import type { Writable } from 'node:stream';
import { type ExportResult, ExportResultCode, hrTimeToMilliseconds } from '@opentelemetry/core';
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base';

const lineOf = (span: ReadableSpan): string => {
  const start = hrTimeToMilliseconds(span.startTime);
  return JSON.stringify({
    trace: span.spanContext().traceId,
    span: span.spanContext().spanId,
    parent: span.parentSpanContext?.spanId,
    name: span.name,
    start: new Date(start).toISOString(),
    durationMs: Number((hrTimeToMilliseconds(span.endTime) - start).toFixed(3)),
    ...span.attributes,
  });
};

/** Exports finished spans as JSON lines. */
export class SpanWriter implements SpanExporter {
  private constructor(private readonly output: Writable) {}

  /** `target` is a file name or `stderr`. */
  static create(target: string): SpanWriter {
    return new SpanWriter(
      target === 'stderr' ? process.stderr : createWriteStream(target, { flags: 'a' }),
    );
  }

  export(spans: ReadableSpan[], done: (result: ExportResult) => void): void {
    const text = spans.map((span) => `${lineOf(span)}\n`).join('');
    this.output.write(text, (error) =>
      done(error ? { code: ExportResultCode.FAILED, error } : { code: ExportResultCode.SUCCESS }),
    );
  }

  async shutdown(): Promise<void> {
    if (this.output === process.stderr) return;
    await new Promise((resolve) => {
      this.output.end(resolve);
    });
  }
}
