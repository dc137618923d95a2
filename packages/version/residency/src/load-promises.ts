import type { LoadSource } from './engine-view';
import { MovingQuantile } from './moving-quantile';
import { fleetIndex, type PlanInput } from './plan-input';
import type { ReadyEstimate } from './ready-estimate';

/** Part of the loads that should be ready within the promised time and its tolerance. */
const keptShare = 0.9;

/** Actual time up to which a promise counts as kept, as a multiple of the promised time. */
const promiseTolerance = 1.2;

/** Number of past loads of each source that the correction considers, and from which it applies. */
const sampleLimit = 64;
const minSamples = 16;

/** Bounds of the correction. */
const minFactor = 0.5;
const maxFactor = 3;

/** Shortest time that ratios are computed with, in ms: plans are made at intervals. */
const minPromiseMs = 100;

/** Time within which a model was promised and ready. */
export interface SettledPromise {
  readonly model: string;
  readonly source: LoadSource;
  readonly promisedMs: number;
  readonly actualMs: number;
  /** Actual time as a multiple of the promised time. */
  readonly ratio: number;
  /** False if no request waits any more although the model is not ready; the ratio is a lower bound. */
  readonly isReady: boolean;
}

/** What a request is told about its model. */
export interface LoadPromise {
  /** Time until the model is ready, in ms. */
  readonly readyMs: number;
  /** Time after which a request that is refused should find the model ready, in ms. */
  readonly retryAfterMs: number;
}

interface OpenPromise {
  readonly service: string;
  readonly model: string;
  readonly source: LoadSource;
  readonly promisedMs: number;
  /** The estimate without a correction, in ms. */
  readonly estimateMs: number;
  readonly isQueued: boolean;
  readonly madeAt: number;
}

/** Separates the parts of a map key; names cannot contain it. */
const keySeparator = '\u0000';

/**
 * Compares the time within which models were promised with the time when they were ready, and corrects
 * the estimates of queued loads by it, separately for each source of the weights. One promise is open
 * for each model, the first that was made since the model was last ready.
 */
export class LoadPromises {
  private readonly open = new Map<string, OpenPromise>();

  private readonly ratios = new Map<LoadSource, MovingQuantile>();

  private constructor() {}

  static create(): LoadPromises {
    return new LoadPromises();
  }

  /** What to tell a request; only estimates of queued loads are corrected. */
  promise({ readyMs, source, isQueued }: ReadyEstimate): LoadPromise {
    if (!isQueued || source === undefined) return { readyMs, retryAfterMs: readyMs };
    const correctedMs = readyMs * this.factor(source);
    return { readyMs: correctedMs, retryAfterMs: correctedMs * promiseTolerance };
  }

  /** Records a promise, unless one is open for the model. */
  record(service: string, model: string, estimate: ReadyEstimate, now: number): void {
    const { source, readyMs: estimateMs, isQueued } = estimate;
    const key = [service, model].join(keySeparator);
    if (source === undefined || this.open.has(key)) return;
    const promisedMs = this.promise(estimate).readyMs;
    const promise = { service, model, source, promisedMs, estimateMs, isQueued, madeAt: now };
    this.open.set(key, promise);
  }

  /** Closes the promises of models of the service that are ready, or that no request waits for. */
  settle(input: PlanInput, now: number): SettledPromise[] {
    if (this.open.size === 0) return [];
    const waiting = input.demand.current(now).filter(({ service }) => service === input.service);
    const awaited = new Set(waiting.map(({ model }) => model));
    const settled: SettledPromise[] = [];
    this.open.forEach((promise, key) => {
      if (promise.service !== input.service) return;
      const isReady = fleetIndex(input).replicas(promise.model).length > 0;
      if (!isReady && awaited.has(promise.model)) return;
      this.open.delete(key);
      const actualMs = now - promise.madeAt;
      const isBroken = actualMs > promise.promisedMs * promiseTolerance;
      if (isReady || isBroken) settled.push(this.close(promise, actualMs, isReady));
    });
    return settled;
  }

  private close(promise: OpenPromise, actualMs: number, isReady: boolean): SettledPromise {
    const { model, source, promisedMs, estimateMs, isQueued } = promise;
    // A model that nobody waits for any more may never be loaded, which says nothing of the estimate.
    if (isQueued && isReady)
      this.ratiosOf(source).record(actualMs / Math.max(minPromiseMs, estimateMs));
    const ratio = actualMs / Math.max(minPromiseMs, promisedMs);
    return { model, source, promisedMs, actualMs, ratio, isReady };
  }

  /** Ratio of the promised to the estimated time with which most promises would have been kept. */
  private factor(source: LoadSource): number {
    const ratios = this.ratios.get(source);
    if (ratios === undefined || ratios.count < minSamples) return 1;
    const factor = (ratios.value ?? promiseTolerance) / promiseTolerance;
    return Math.min(maxFactor, Math.max(minFactor, factor));
  }

  private ratiosOf(source: LoadSource): MovingQuantile {
    const found = this.ratios.get(source);
    if (found !== undefined) return found;
    const ratios = MovingQuantile.create(keptShare, sampleLimit);
    this.ratios.set(source, ratios);
    return ratios;
  }
}
