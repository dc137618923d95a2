/** A time span after the last request, in ms, in which the item is kept loaded. */
export interface WarmSpan {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Costs that a plan minimizes, all in the unit of the prices. */
export interface WarmCosts {
  /** Cost of keeping the item loaded for one ms without use. */
  readonly idlePerMs: number;
  /** Cost of a request that finds the item not loaded. */
  readonly coldStart: number;
  /** Cost of preloading the item. */
  readonly load: number;
}

/** Distribution of the gap to the next request, as unnormalized weights of bins. */
export interface GapDistribution {
  /** Edges of the bins, in ms; one more than there are weights. */
  readonly edgesMs: readonly number[];
  readonly weights: readonly number[];
  /** Weight of gaps beyond the last edge. */
  readonly beyond: number;
}

/**
 * Computes the spans of the gap in which to keep the item loaded so that the expected cost is
 * lowest, by backward induction over the bins with the two states loaded and not loaded. The item
 * is loaded at the start; a span that does not start at 0 means preloading.
 */
export const warmPlan = (
  { edgesMs, weights, beyond }: GapDistribution,
  { idlePerMs, coldStart, load }: WarmCosts,
): readonly WarmSpan[] => {
  const bins = weights.length;
  let surviving = beyond;
  let costWarm = coldStart;
  let costCold = coldStart;
  const staysWarm = new Array<boolean>(bins);
  const loads = new Array<boolean>(bins);
  for (let bin = bins - 1; bin >= 0; bin -= 1) {
    const after = surviving;
    surviving += weights[bin];
    const hazard = surviving > 0 ? weights[bin] / surviving : 0;
    const width = edgesMs[bin + 1] - edgesMs[bin];
    const keep = idlePerMs * width * (1 - hazard / 2) + (1 - hazard) * costWarm;
    const skip = hazard * coldStart + (1 - hazard) * costCold;
    const isLast = after === 0 && weights[bin] === 0;
    staysWarm[bin] = !isLast && keep < skip;
    loads[bin] = !isLast && load + keep < skip;
    costWarm = staysWarm[bin] ? keep : skip;
    costCold = loads[bin] ? load + keep : skip;
  }
  const spans: WarmSpan[] = [];
  let from: number | undefined = 0;
  for (let bin = 0; bin < bins; bin += 1) {
    if (from !== undefined && !staysWarm[bin]) {
      if (edgesMs[bin] > from) spans.push({ fromMs: from, toMs: edgesMs[bin] });
      from = undefined;
    }
    if (from === undefined && loads[bin]) from = edgesMs[bin];
  }
  if (from !== undefined) spans.push({ fromMs: from, toMs: edgesMs[bins] });
  return spans;
};
