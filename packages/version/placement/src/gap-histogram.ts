import type { CalendarWindow } from '@currantdrift/core';
import { z } from 'zod';
import { currentOrNextWindow } from './calendar';
import { DailyRhythm } from './daily-rhythm';
import type { KeepWarmPolicy } from './keep-warm';
import { type GapDistribution, warmPlan, type WarmSpan } from './warm-plan';

/** Properties of an item that determine its costs. */
export interface ItemCost {
  /** Duration of a cold start, in seconds. */
  readonly coldStartSeconds: number;
  /** Number of accelerators that the loaded item occupies; a fraction for an adapter. */
  readonly accelerators: number;
  /** Daily windows in which the item is expected to be used. */
  readonly calendar: readonly CalendarWindow[];
}

export interface GapHistogramOptions {
  /** Price of one idle accelerator hour. */
  readonly idleHourPrice: number;
  /** Price of one second that a request waits for a cold start. */
  readonly coldSecondPrice: number;
  /**
   * Makes long cold starts cost more than proportionally, for deployments that optimize tail
   * latency: the cost of s seconds is proportional to s * (s / 10)^tailExponent. 0 by default.
   */
  readonly tailExponent?: number;
  /** Costs of an item, by name without version. */
  readonly costOf: (item: string) => ItemCost;
  /** Decay, 0 to 1, of an item's earlier gaps for each new gap. */
  readonly decay?: number;
  /** Weight, in gaps, of the prior from the gaps of all items. */
  readonly priorGaps?: number;
}

const hourMs = 3_600_000;

/** Ratio of neighboring bin edges; narrow enough to detect gaps that repeat within 5%. */
const binRatio = 1.08;

const firstEdgeMs = 1_000;

const lastEdgeMs = 14 * 24 * hourMs;

const edgesMs: readonly number[] = [
  0,
  ...Array.from(
    { length: Math.ceil(Math.log(lastEdgeMs / firstEdgeMs) / Math.log(binRatio)) + 1 },
    (_, index) => firstEdgeMs * binRatio ** index,
  ),
];

const bins = edgesMs.length - 1;

const binOf = (gapMs: number): number =>
  gapMs < firstEdgeMs
    ? 0
    : Math.min(bins - 1, Math.floor(Math.log(gapMs / firstEdgeMs) / Math.log(binRatio)) + 1);

/** Shortest time, in ms, for which an item is unloaded before it is preloaded again. */
const minBreakMs = 120_000;

/** The same as a multiple of the item's cold start time. */
const minBreakLoads = 4;

/** Decay of the gaps of all items for each new gap. */
const poolDecay = 0.9995;

/** Fraction of a gap's weight that its own bin gets; the two neighboring bins share the rest. */
const ownBinShare = 0.5;

/** Prior weight, in gaps, of the case that an item is never used again. */
const neverWeight = 0.1;

/**
 * Smallest weight, in gaps between visits, from which gaps are predicted. With less, an item is
 * kept until its idle time has cost as much as a cold start; this costs at most twice the optimum
 * with a known gap.
 */
const minVisitGaps = 10;

/** Weight below which a bin is dropped. */
const minCopiedWeight = 0.01;

/** Duration of a cold start, in seconds, at which the tail exponent has no effect. */
const tailReferenceSeconds = 10;

/** Measure of time for gaps: wall time, or time weighted by the daily rhythm. */
type TimeMeasure = 'wall' | 'weighted';

interface ItemHistory {
  /** Time of the last request, or of the first `keepUntil` call for an item without one. */
  last: number;
  isRequested: boolean;
  readonly wall: Map<number, number>;
  readonly weighted: Map<number, number>;
  /** Decayed log-likelihood of the item's gaps in weighted time minus that in wall time. */
  advantage: number;
  plan: readonly WarmSpan[] | undefined;
  /** JSON of the item in a snapshot; cached, since few items change between two snapshots. */
  copy: string | undefined;
}

/** Gap, in ms, after which a request starts a new visit for the daily rhythm. */
const visitGapMs = 600_000;

const visitBin = binOf(visitGapMs);

const weightsSchema = z.array(
  z.tuple([
    z
      .number()
      .int()
      .min(0)
      .max(bins - 1),
    z.number().nonnegative(),
  ]),
);

const snapshotSchema = z.object({
  rhythm: z.array(z.number().nonnegative()),
  wall: weightsSchema,
  weighted: weightsSchema,
  items: z.array(z.tuple([z.string(), z.number(), z.number(), weightsSchema, weightsSchema])),
});

const addGap = (weights: Map<number, number>, bin: number, decay: number): void => {
  weights.forEach((weight, key) => {
    if (weight * decay < minCopiedWeight) weights.delete(key);
    else weights.set(key, weight * decay);
  });
  const spread: readonly (readonly [number, number])[] = [
    [bin - 1, (1 - ownBinShare) / 2],
    [bin, ownBinShare],
    [bin + 1, (1 - ownBinShare) / 2],
  ];
  spread.forEach(([key, share]) => {
    const at = Math.min(bins - 1, Math.max(0, key));
    weights.set(at, (weights.get(at) ?? 0) + share);
  });
};

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Largest number of bins per item in a snapshot; those with the largest weights are kept. */
const maxCopiedBins = 8;

/** Largest size of a snapshot's items, in characters; the least recently used ones are left out. */
const maxCopyBytes = 400_000;

const roundedWeights = (weights: ReadonlyMap<number, number>, limit = bins): [number, number][] =>
  [...weights]
    .map(([bin, weight]): [number, number] => [bin, Math.round(weight * 10) / 10])
    .filter(([, weight]) => weight > 0)
    .sort(([, a], [, b]) => b - a)
    .slice(0, limit);

/** Merges spans if the break is too short to justify a reload from the shared weight store. */
const withoutShortBreaks = (spans: readonly WarmSpan[], breakMs: number): readonly WarmSpan[] =>
  spans.reduce<readonly WarmSpan[]>((joined, span) => {
    const previous = joined.at(-1);
    if (span.fromMs - (previous?.toMs ?? 0) >= breakMs) return [...joined, span];
    return [...joined.slice(0, -1), { fromMs: previous?.fromMs ?? 0, toMs: span.toMs }];
  }, []);

/**
 * Keep-warm policy that keeps an item loaded while the expected cost of a cold start exceeds the
 * expected cost of idle time. The distribution of the gap to the next request is estimated from the
 * item's own gaps, which decay, with the gaps of all items as a prior. Gaps are counted both in
 * wall time, which fits periodic jobs, and in time weighted by the daily rhythm, which fits
 * interactive use; the measure with the higher likelihood for the item is used. An item may be
 * unloaded and preloaded before its next use.
 */
export class GapHistogram implements KeepWarmPolicy {
  private readonly items = new Map<string, ItemHistory>();

  private readonly pool: Record<TimeMeasure, Map<number, number>> = {
    wall: new Map(),
    weighted: new Map(),
  };

  private rhythm = DailyRhythm.create();

  private readonly decay: number;

  private readonly priorGaps: number;

  private constructor(private readonly options: GapHistogramOptions) {
    this.decay = options.decay ?? 0.99;
    this.priorGaps = options.priorGaps ?? 3;
  }

  static create(options: GapHistogramOptions): GapHistogram {
    return new GapHistogram(options);
  }

  touch(item: string, now: number): void {
    const history = this.items.get(item);
    if (history === undefined) {
      this.rhythm.add(now);
      this.createHistory(item, now).isRequested = true;
      return;
    }
    const gap = now - history.last;
    // Touch messages of several daemons may arrive out of order.
    if (gap < 0) return;
    const wallBin = binOf(gap);
    const weightedBin = binOf(this.rhythm.weighted(now) - this.rhythm.weighted(history.last));
    if (gap > visitGapMs) {
      history.advantage =
        history.advantage * this.decay +
        this.logDensity(history, 'weighted', weightedBin) -
        this.logDensity(history, 'wall', wallBin);
      this.rhythm.add(now);
    }
    history.last = now;
    history.isRequested = true;
    history.plan = undefined;
    history.copy = undefined;
    addGap(history.wall, wallBin, this.decay);
    addGap(history.weighted, weightedBin, this.decay);
    addGap(this.pool.wall, wallBin, poolDecay);
    addGap(this.pool.weighted, weightedBin, poolDecay);
  }

  keepUntil(item: string, now: number): number {
    // For an item without a request in this process, the gap starts at the first call.
    const history = this.items.get(item) ?? this.createHistory(item, now);
    const calendarWindow = this.window(item, now);
    const byWindow =
      calendarWindow !== undefined && calendarWindow.from <= now ? calendarWindow.until : now;
    const leadMs = this.options.costOf(item).coldStartSeconds * 1000;
    const span = this.planOf(item, history).find(
      ({ fromMs, toMs }) => now >= history.last + fromMs - leadMs && now < history.last + toMs,
    );
    return Math.max(byWindow, span === undefined ? now : history.last + span.toMs);
  }

  preloadAt(item: string, now: number): number | undefined {
    const history = this.items.get(item);
    const leadMs = this.options.costOf(item).coldStartSeconds * 1000;
    const window = this.window(item, now);
    const byWindow = window === undefined ? undefined : Math.max(now, window.from - leadMs);
    if (history === undefined) return byWindow;
    const span = this.planOf(item, history).find(
      ({ fromMs, toMs }) => fromMs > 0 && now < history.last + toMs,
    );
    if (span === undefined) return byWindow;
    const at = Math.max(now, history.last + span.fromMs - leadMs);
    return byWindow === undefined ? at : Math.min(at, byWindow);
  }

  value(item: string, now: number): number {
    const history = this.items.get(item);
    const { coldStartSeconds } = this.options.costOf(item);
    const { edgesMs: edges, weights, beyond } = this.distribution(history);
    const age = history === undefined ? lastEdgeMs : now - history.last;
    const later = edges.findIndex((edge) => edge > age);
    const bin = later < 1 ? bins - 1 : later - 1;
    const surviving = weights.slice(bin).reduce((sum, weight) => sum + weight, beyond);
    const hours = (edges[bin + 1] - edges[bin]) / hourMs;
    const hazard = surviving > 0 ? weights[bin] / surviving / hours : 0;
    return hazard * this.coldStartCost(coldStartSeconds);
  }

  snapshot(): string {
    let left = maxCopyBytes;
    const items = [...this.items]
      .sort(([, a], [, b]) => b.last - a.last)
      .map(([item, history]) => this.copyOf(item, history))
      .filter((copy) => {
        left -= copy.length + 1;
        return left >= 0;
      });
    const pools = JSON.stringify({
      rhythm: this.rhythm.copy,
      wall: roundedWeights(this.pool.wall),
      weighted: roundedWeights(this.pool.weighted),
    });
    return `${pools.slice(0, -1)},"items":[${items.join()}]}`;
  }

  restore(snapshot: string): void {
    const parsed = snapshotSchema.safeParse(parseJson(snapshot));
    if (!parsed.success) return;
    const { rhythm, wall: wallPool, weighted: weightedPool, items } = parsed.data;
    this.rhythm = DailyRhythm.create(rhythm);
    this.pool.wall = new Map(wallPool);
    this.pool.weighted = new Map(weightedPool);
    items.forEach(([item, last, advantage, wall, weighted]) => {
      const known = this.items.get(item);
      this.items.set(item, {
        last: Math.max(last, known?.last ?? 0),
        isRequested: true,
        wall: new Map(wall),
        weighted: new Map(weighted),
        advantage,
        plan: undefined,
        copy: undefined,
      });
    });
  }

  private createHistory(item: string, now: number): ItemHistory {
    const history: ItemHistory = {
      last: now,
      isRequested: false,
      wall: new Map(),
      weighted: new Map(),
      advantage: 0,
      plan: undefined,
      copy: undefined,
    };
    this.items.set(item, history);
    return history;
  }

  private copyOf(item: string, history: ItemHistory): string {
    if (history.copy !== undefined) return history.copy;
    const copy = JSON.stringify([
      item,
      history.last,
      Math.round(history.advantage * 10) / 10,
      roundedWeights(history.wall, maxCopiedBins),
      roundedWeights(history.weighted, maxCopiedBins),
    ]);
    // eslint-disable-next-line no-param-reassign -- kept until the item's next gap
    history.copy = copy;
    return copy;
  }

  private planOf(item: string, history: ItemHistory): readonly WarmSpan[] {
    if (history.plan !== undefined) return history.plan;
    const { idleHourPrice, costOf } = this.options;
    const { coldStartSeconds, accelerators } = costOf(item);
    const idlePerMs = (idleHourPrice * accelerators) / hourMs;
    const breakEvenMs = this.coldStartCost(coldStartSeconds) / idlePerMs;
    if (idlePerMs === 0 || this.visitWeight(history) < minVisitGaps) {
      return [{ fromMs: 0, toMs: Math.min(lastEdgeMs, breakEvenMs) }];
    }
    const spans = warmPlan(this.distribution(history), {
      idlePerMs,
      coldStart: this.coldStartCost(coldStartSeconds),
      load: idlePerMs * coldStartSeconds * 1000,
    });
    const plan = withoutShortBreaks(
      spans,
      Math.max(minBreakMs, minBreakLoads * coldStartSeconds * 1000),
    );
    // eslint-disable-next-line no-param-reassign -- kept until the item's next gap
    history.plan = plan;
    return plan;
  }

  /** Weight of the gaps between visits that are available to plan for the item. */
  private visitWeight(history: ItemHistory): number {
    const visits = (weights: ReadonlyMap<number, number>) =>
      [...weights].reduce((sum, [bin, weight]) => sum + (bin > visitBin ? weight : 0), 0);
    return visits(history.wall) + visits(this.pool.wall);
  }

  private coldStartCost(seconds: number): number {
    const { coldSecondPrice, tailExponent = 0 } = this.options;
    return coldSecondPrice * seconds * (seconds / tailReferenceSeconds) ** tailExponent;
  }

  /** Log-likelihood, up to a constant, of a gap in `bin` under the current distribution. */
  private logDensity(history: ItemHistory, measure: TimeMeasure, bin: number): number {
    const { edgesMs: edges, weights } = this.distribution(history, measure);
    const total = weights.reduce((sum, weight) => sum + weight, neverWeight);
    return Math.log((weights[bin] + minCopiedWeight) / total / (edges[bin + 1] - edges[bin]));
  }

  private distribution(
    history: ItemHistory | undefined,
    measure: TimeMeasure = (history?.advantage ?? 0) > 0 ? 'weighted' : 'wall',
  ): GapDistribution {
    const weights = new Array<number>(bins).fill(0);
    history?.[measure].forEach((weight, bin) => {
      weights[bin] += weight;
    });
    const pool = this.pool[measure];
    const pooled = [...pool.values()].reduce((sum, weight) => sum + weight, 0);
    pool.forEach((weight, bin) => {
      weights[bin] += (weight / pooled) * this.priorGaps;
    });
    if (measure === 'wall' || history === undefined) {
      return { edgesMs, weights, beyond: neverWeight };
    }
    const start = this.rhythm.weighted(history.last);
    const edges = edgesMs.map((edge) => this.rhythm.time(start + edge) - history.last);
    return { edgesMs: edges, weights, beyond: neverWeight };
  }

  /**
   * The current or next calendar window, ended early once waiting for the first request in it would
   * cost more than a cold start; undefined if the item was already used in it.
   */
  private window(item: string, now: number): { from: number; until: number } | undefined {
    const { idleHourPrice, costOf } = this.options;
    const { calendar, coldStartSeconds, accelerators } = costOf(item);
    const span = currentOrNextWindow(calendar, now);
    if (span === undefined) return undefined;
    const breakEvenMs =
      (this.coldStartCost(coldStartSeconds) / (idleHourPrice * accelerators)) * hourMs;
    const until = Math.min(span.until, span.from + breakEvenMs);
    const history = this.items.get(item);
    const isUsed = history?.isRequested === true && history.last >= span.from;
    return until > now && !isUsed ? { from: span.from, until } : undefined;
  }
}
