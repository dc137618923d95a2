export { BoundedWriter } from './bounded-writer';
export * from './log';
export * from './metrics';
export * from './process-telemetry';
export { SpanTracer } from './span-tracer';
export { NoopTracer, type Tracer } from './tracer';
