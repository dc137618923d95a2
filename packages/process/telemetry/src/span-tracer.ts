import type { Fields, Span } from '@currantdrift/core';
import type { Tracer as OpenTracer } from '@opentelemetry/api';
import { BasicTracerProvider, BatchSpanProcessor } from '@opentelemetry/sdk-trace-base';
import { SpanWriter } from './span-writer';
import { contextOf, TracedSpan } from './traced-span';
import type { Tracer } from './tracer';

/** Starts spans and exports them as JSON lines. */
export class SpanTracer implements Tracer {
  private constructor(
    private readonly provider: BasicTracerProvider,
    private readonly tracer: OpenTracer,
  ) {}

  /** `target` is a file name, `stderr` or `none`; trace context is propagated in all cases. */
  static create(target: string): SpanTracer {
    const spanProcessors =
      target === 'none' ? [] : [new BatchSpanProcessor(SpanWriter.create(target))];
    const provider = new BasicTracerProvider({ spanProcessors });
    return new SpanTracer(provider, provider.getTracer('currantdrift'));
  }

  start(name: string, parent: string | undefined, fields: Fields | undefined): Span {
    const span = this.tracer.startSpan(name, { attributes: { ...fields } }, contextOf(parent));
    return TracedSpan.create(span);
  }

  close(): Promise<void> {
    return this.provider.shutdown();
  }
}
