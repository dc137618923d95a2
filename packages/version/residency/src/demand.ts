/** A request that waits for a model. */
export interface Waiting {
  readonly request: string;
  readonly service: string;
  readonly model: string;
  readonly adapter: string | undefined;
  /** Latest time at which the model must be ready, on the controller's clock, in ms. */
  readonly deadline: number;
  /** Latest time at which the model must be ready for an answer that is on time, in ms. */
  readonly onTimeBy: number;
  readonly priority: number;
  /** Times of the first and of the last sign that the request waits. */
  readonly since: number;
  readonly seenAt: number;
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

const decayed = (rate: Rate, now: number): number =>
  rate.perSecond * Math.exp(-Math.max(0, now - rate.at) / rateMemoryMs);

/** What models are asked for: arrival rates, and the requests that wait. */
export class Demand {
  private readonly rates = new Map<string, Rate>();

  private readonly waiting = new Map<string, Waiting>();

  private readonly adapters = new Map<string, number>();

  private constructor() {}

  static create(): Demand {
    return new Demand();
  }

  countArrivals(service: string, model: string, count: number, now: number): void {
    const key = service + separator + model;
    const before = this.rates.get(key);
    const kept = before === undefined ? 0 : decayed(before, now);
    this.rates.set(key, { perSecond: kept + count / (rateMemoryMs / 1000), at: now });
  }

  adapterUsed(service: string, model: string, adapter: string, now: number): void {
    this.adapters.set([service, model, adapter].join(separator), now);
  }

  /** Time of the last use of an adapter; -Infinity if it was not used. */
  adapterUsedAt(service: string, model: string, adapter: string): number {
    return this.adapters.get([service, model, adapter].join(separator)) ?? -Infinity;
  }

  /** Arrivals in a second, averaged over the last seconds. */
  rate(service: string, model: string, now: number): number {
    const found = this.rates.get(service + separator + model);
    return found === undefined ? 0 : decayed(found, now);
  }

  /** Whether hardly anything was asked for in the last seconds. */
  isIdle(now: number): boolean {
    const total = [...this.rates.values()].reduce((sum, rate) => sum + decayed(rate, now), 0);
    return total < idlePerSecond;
  }

  /** Whether the request is known to wait. */
  isWaiting(request: string): boolean {
    return this.waiting.has(request);
  }

  /** Takes a sign that a request waits. */
  wait(sign: Omit<Waiting, 'since'>): void {
    const since = this.waiting.get(sign.request)?.since ?? sign.seenAt;
    this.waiting.set(sign.request, { ...sign, since });
  }

  /** Requests that wait at `now`, those told to come back included until they are due. */
  current(now: number): Waiting[] {
    this.waiting.forEach((one, request) => {
      const silent = !one.refused && now - one.seenAt > waitingLifetimeMs;
      if (silent || now > one.deadline) this.waiting.delete(request);
    });
    return [...this.waiting.values()];
  }
}
