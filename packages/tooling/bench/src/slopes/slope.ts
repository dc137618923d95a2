import { cpus, loadavg } from 'node:os';
import { type Fit, fitLine, round } from './fit';

/** What was measured over three or more sizes. */
export interface Slope {
  readonly name: string;
  /** Unit of the values. */
  readonly unit: string;
  /** What the sizes count. */
  readonly per: string;
  /** Code that was measured and where it ran. */
  readonly method: string;
  readonly sizes: readonly number[];
  readonly values: readonly number[];
  readonly fit: Fit;
  readonly machine: { readonly cores: number; readonly node: string };
  /** ISO 8601. */
  readonly date: string;
  /** Load average of one minute at the end of the measurement. */
  readonly loadAverage: number;
}

export type SlopeInput = Pick<Slope, 'name' | 'unit' | 'per' | 'method' | 'sizes' | 'values'>;

export const slopeOf = (input: SlopeInput): Slope => ({
  ...input,
  values: input.values.map(round),
  fit: fitLine(input.sizes, input.values),
  machine: { cores: cpus().length, node: process.version },
  date: new Date().toISOString(),
  loadAverage: round(loadavg()[0]),
});
