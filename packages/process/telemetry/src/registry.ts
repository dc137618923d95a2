import type { Fields } from '@currantdrift/core';
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';
import { type MetricDefinition, metricDefinitions } from './metrics';

type Metric = Counter | Gauge | Histogram;

const createMetric = (name: string, definition: MetricDefinition, registry: Registry): Metric => {
  const options = {
    name,
    help: definition.help,
    labelNames: [...definition.labels],
    registers: [registry],
  };
  switch (definition.type) {
    case 'counter':
      return new Counter(options);
    case 'gauge':
      return new Gauge(options);
    default:
      return new Histogram({ ...options, buckets: [...(definition.buckets ?? [])] });
  }
};

const labelsOf = (fields: Fields | undefined): Record<string, string> =>
  Object.fromEntries(Object.entries(fields ?? {}).map(([key, value]) => [key, String(value)]));

/** The metrics of one process, kept in a prom-client registry. */
export class MetricRegistry {
  private constructor(
    private readonly registry: Registry,
    private readonly metrics: ReadonlyMap<string, Metric>,
  ) {}

  static create(): MetricRegistry {
    const registry = new Registry();
    collectDefaultMetrics({ register: registry });
    const metrics = Object.entries(metricDefinitions).map(
      ([name, definition]) => [name, createMetric(name, definition, registry)] as const,
    );
    return new MetricRegistry(registry, new Map(metrics));
  }

  /** Adds to a counter. Names without a definition are ignored. */
  count(name: string, fields: Fields | undefined, by: number): void {
    const metric = this.metrics.get(name);
    if (metric instanceof Counter) metric.inc(labelsOf(fields), by);
  }

  gauge(name: string, value: number, fields: Fields | undefined): void {
    const metric = this.metrics.get(name);
    if (metric instanceof Gauge) metric.set(labelsOf(fields), value);
  }

  observe(name: string, value: number, fields: Fields | undefined): void {
    const metric = this.metrics.get(name);
    if (metric instanceof Histogram) metric.observe(labelsOf(fields), value);
  }

  /** All metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  get contentType(): string {
    return this.registry.contentType;
  }
}
