/** A request that waits until its model is loaded. */
export interface WaitingRequest {
  readonly request: string;
  readonly service: string;
  readonly model: string;
  readonly adapter: string | undefined;
  /** Latest time at which the model must be ready, on the controller's clock, in ms. */
  readonly deadline: number;
  /** Latest time at which the model can become ready for an on-time response, in ms. */
  readonly onTimeDeadline: number;
  readonly priority: number;
  /** Whether engines hold the model, but their request limits leave no place in time. */
  readonly limited: boolean;
  /** Time of the last message that reported the request as still waiting. */
  readonly lastSeenAt: number;
  /** True if the client was told to retry later. */
  readonly refused: boolean;
}

/** Time constant of the exponential decay of the arrival rates, in ms. */
const rateTimeConstantMs = 8_000;

/** Time without a report after which a request no longer counts as waiting, in ms. */
const waitingLifetimeMs = 1_500;

/** Arrivals per second over all models below which the demand counts as idle. */
const idleArrivalsPerSecond = 0.5;

/** Separates the parts of a map key; names cannot contain it. */
const keySeparator = '\u0000';

interface Rate {
  readonly perSecond: number;
  readonly at: number;
}

/** Cache of decayed rates at one time; planning reads the same rates many times. */
interface DecayedRates {
  readonly at: number;
  readonly perSecond: Map<string, number>;
}

const decayedRate = (rate: Rate, now: number): number =>
  rate.perSecond * Math.exp(-Math.max(0, now - rate.at) / rateTimeConstantMs);

/** Tracks the demand for models: arrival rates, adapter uses and waiting requests. */
export class Demand {
  /** Rates by service, then by model. */
  private readonly rates = new Map<string, Map<string, Rate>>();

  /** Time of the first arrival at a service. */
  private readonly startedAt = new Map<string, number>();

  private readonly decayedRates = new Map<string, DecayedRates>();

  private readonly waiting = new Map<string, WaitingRequest>();

  private readonly adapters = new Map<string, number>();

  private constructor() {}

  static create(): Demand {
    return new Demand();
  }

  recordArrivals(service: string, model: string, count: number, now: number): void {
    const rates = this.rates.get(service) ?? new Map<string, Rate>();
    this.rates.set(service, rates);
    if (!this.startedAt.has(service)) this.startedAt.set(service, now);
    const before = rates.get(model);
    const remaining = before === undefined ? 0 : decayedRate(before, now);
    rates.set(model, { perSecond: remaining + count / (rateTimeConstantMs / 1000), at: now });
    this.decayedRates.get(service)?.perSecond.delete(model);
  }

  recordAdapterUse(service: string, model: string, adapter: string, now: number): void {
    this.adapters.set([service, model, adapter].join(keySeparator), now);
  }

  /** Time of the last use of an adapter; -Infinity if it was never used. */
  lastAdapterUse(service: string, model: string, adapter: string): number {
    return this.adapters.get([service, model, adapter].join(keySeparator)) ?? -Infinity;
  }

  /** Arrivals per second as a moving average over the last seconds. */
  rate(service: string, model: string, now: number): number {
    const known = this.ratesAt(service, now);
    const found = known.get(model);
    if (found !== undefined) return found;
    const rate = this.rates.get(service)?.get(model);
    const perSecond = rate === undefined ? 0 : decayedRate(rate, now);
    known.set(model, perSecond);
    return perSecond;
  }

  /**
   * Share of the arrivals that the rates of a service include, from 0 to 1. It is low in the first
   * seconds, when the averages still rise.
   */
  coverage(service: string, now: number): number {
    const ageMs = now - (this.startedAt.get(service) ?? now);
    return 1 - Math.exp(-ageMs / rateTimeConstantMs);
  }

  /** Models that received at least one request. */
  models(service: string): readonly string[] {
    return [...(this.rates.get(service)?.keys() ?? [])];
  }

  /** Whether the total arrival rate over the last seconds is below the idle threshold. */
  isIdle(now: number): boolean {
    const all = [...this.rates.values()].flatMap((rates) => [...rates.values()]);
    return all.reduce((sum, rate) => sum + decayedRate(rate, now), 0) < idleArrivalsPerSecond;
  }

  private ratesAt(service: string, now: number): Map<string, number> {
    const known = this.decayedRates.get(service);
    if (known?.at === now) return known.perSecond;
    const perSecond = new Map<string, number>();
    this.decayedRates.set(service, { at: now, perSecond });
    return perSecond;
  }

  /** Whether the request is registered as waiting. */
  isWaiting(request: string): boolean {
    return this.waiting.has(request);
  }

  addWaiting(waiting: WaitingRequest): void {
    this.waiting.set(waiting.request, waiting);
  }

  /**
   * Requests that wait at `now`. Requests that were told to retry later are included until their
   * deadline; others are dropped if they have not been reported recently.
   */
  current(now: number): WaitingRequest[] {
    this.waiting.forEach((one, request) => {
      const isStale = !one.refused && now - one.lastSeenAt > waitingLifetimeMs;
      if (isStale || now > one.deadline) this.waiting.delete(request);
    });
    return [...this.waiting.values()];
  }
}
