/** Least-squares line through measured points. */
export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the differences from the line, in the unit of the values. */
  readonly residual: number;
}

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

export const round = (value: number): number => Number(value.toPrecision(4));

/** Fits a line; throws a `RangeError` for fewer than three sizes, two of which must differ. */
export const fitLine = (sizes: readonly number[], values: readonly number[]): Fit => {
  if (sizes.length < 3 || sizes.length !== values.length || new Set(sizes).size < 2) {
    throw new RangeError(`a line needs three or more sizes with a value each, not ${sizes.length}`);
  }
  const [x, y] = [mean(sizes), mean(values)];
  const spread = sizes.reduce((sum, size) => sum + (size - x) ** 2, 0);
  const slope = sizes.reduce((sum, size, i) => sum + (size - x) * (values[i] - y), 0) / spread;
  const intercept = y - slope * x;
  const errors = sizes.map((size, i) => (values[i] - intercept - slope * size) ** 2);
  return {
    slope: round(slope),
    intercept: round(intercept),
    residual: round(Math.sqrt(mean(errors))),
  };
};
