import type { Fields, Span } from '@currantdrift/core';
import {
  type Context,
  defaultTextMapGetter,
  defaultTextMapSetter,
  ROOT_CONTEXT,
  type Span as OpenSpan,
  trace,
} from '@opentelemetry/api';
import { W3CTraceContextPropagator } from '@opentelemetry/core';

const propagator = new W3CTraceContextPropagator();

/** Parses a W3C trace context; without one, the span starts a new trace. */
export const contextOf = (traceparent: string | undefined): Context =>
  traceparent === undefined
    ? ROOT_CONTEXT
    : propagator.extract(ROOT_CONTEXT, { traceparent }, defaultTextMapGetter);

const traceparentOf = (span: OpenSpan): string => {
  const carrier: Record<string, string> = {};
  propagator.inject(trace.setSpan(ROOT_CONTEXT, span), carrier, defaultTextMapSetter);
  return carrier.traceparent ?? '';
};

/** Adapts an OpenTelemetry span to the `Span` interface. */
export class TracedSpan implements Span {
  private constructor(
    private readonly span: OpenSpan,
    readonly traceparent: string,
  ) {}

  static create(span: OpenSpan): TracedSpan {
    return new TracedSpan(span, traceparentOf(span));
  }

  set(fields: Fields): void {
    this.span.setAttributes(fields);
  }

  end(outcome?: string): void {
    if (outcome !== undefined) this.span.setAttribute('outcome', outcome);
    this.span.end();
  }
}
