/** A request that waits for a model. */
export interface Waiting {
  readonly request: string;
  readonly service: string;
  readonly model: string;
  readonly adapter: string | undefined;
  /** Latest time at which the model must be ready, on the controller's clock, in ms. */
  readonly deadline: number;
  /** Latest time at which the model must be ready for an answer that is on time, in ms. */
  readonly onTimeDeadline: number;
  readonly priority: number;
  /** Time of the last sign that the request still waits. */
  readonly lastSeenAt: number;
  /** True if the request was told to come back later. */
  readonly refused: boolean;
}

/** Time constant of the arrival rates, in ms. */
const rateMemoryMs = 8_000;

/** Time without a sign after which a request no longer counts as waiting, in ms. */
const waitingLifetimeMs = 1_500;

/** Arrivals in a second, over all models, below which there is no demand. */
const idlePerSecond = 0.5;

/** Stands between the parts of a key; no name contains it. */
const separator = '\u0000';

interface Rate {
  readonly perSecond: number;
  readonly at: number;
}

/** Rates as they are at one time; a plan asks for the same ones many times. */
interface Decayed {
  readonly at: number;
  readonly perSecond: Map<string, number>;
}

const decayed = (rate: Rate, now: number): number =>
  rate.perSecond * Math.exp(-Math.max(0, now - rate.at) / rateMemoryMs);

/** What models are asked for: arrival rates, and the requests that wait. */
export class Demand {
  /** By service, then by model. */
  private readonly rates = new Map<string, Map<string, Rate>>();

  private readonly latest = new Map<string, Decayed>();

  private readonly waiting = new Map<string, Waiting>();

  private readonly adapters = new Map<string, number>();

  private constructor() {}

  static create(): Demand {
    return new Demand();
  }

  recordArrivals(service: string, model: string, count: number, now: number): void {
    const rates = this.rates.get(service) ?? new Map<string, Rate>();
    this.rates.set(service, rates);
    const before = rates.get(model);
    const kept = before === undefined ? 0 : decayed(before, now);
    rates.set(model, { perSecond: kept + count / (rateMemoryMs / 1000), at: now });
    this.latest.get(service)?.perSecond.delete(model);
  }

  recordAdapterUse(service: string, model: string, adapter: string, now: number): void {
    this.adapters.set([service, model, adapter].join(separator), now);
  }

  /** Time of the last use of an adapter; -Infinity if it was not used. */
  adapterUsedAt(service: string, model: string, adapter: string): number {
    return this.adapters.get([service, model, adapter].join(separator)) ?? -Infinity;
  }

  /** Arrivals in a second, averaged over the last seconds. */
  rate(service: string, model: string, now: number): number {
    const known = this.ratesAt(service, now);
    const found = known.get(model);
    if (found !== undefined) return found;
    const rate = this.rates.get(service)?.get(model);
    const perSecond = rate === undefined ? 0 : decayed(rate, now);
    known.set(model, perSecond);
    return perSecond;
  }

  /** Models that were ever asked for. */
  models(service: string): readonly string[] {
    return [...(this.rates.get(service)?.keys() ?? [])];
  }

  /** Whether hardly anything was asked for in the last seconds. */
  isIdle(now: number): boolean {
    const all = [...this.rates.values()].flatMap((rates) => [...rates.values()]);
    return all.reduce((sum, rate) => sum + decayed(rate, now), 0) < idlePerSecond;
  }

  private ratesAt(service: string, now: number): Map<string, number> {
    const known = this.latest.get(service);
    if (known?.at === now) return known.perSecond;
    const perSecond = new Map<string, number>();
    this.latest.set(service, { at: now, perSecond });
    return perSecond;
  }

  /** Whether the request is known to wait. */
  isWaiting(request: string): boolean {
    return this.waiting.has(request);
  }

  addWaiting(waiting: Waiting): void {
    this.waiting.set(waiting.request, waiting);
  }

  /** Requests that wait at `now`, those told to come back included until they are due. */
  current(now: number): Waiting[] {
    this.waiting.forEach((one, request) => {
      const silent = !one.refused && now - one.lastSeenAt > waitingLifetimeMs;
      if (silent || now > one.deadline) this.waiting.delete(request);
    });
    return [...this.waiting.values()];
  }
}
