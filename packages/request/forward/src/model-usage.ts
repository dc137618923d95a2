/** Requests for one model that arrived at this process since the last report. */
export interface ModelArrivals {
  readonly service: string;
  readonly model: string;
  readonly adapter: string | undefined;
  /** Number of requests. */
  readonly arrivals: number;
}

/** Requests of this process in flight for a model at an endpoint. */
export interface InFlightCount {
  readonly endpoint: string;
  readonly model: string;
  readonly adapter: string | undefined;
  readonly count: number;
}

export interface UsageReport {
  readonly uses: readonly ModelArrivals[];
  readonly flights: readonly InFlightCount[];
}

const keyOf = (...parts: (string | undefined)[]): string => parts.join('\u0000');

/** Counts arrivals and requests in flight per model, for reports to the controller. */
export class ModelUsage {
  private readonly uses = new Map<string, ModelArrivals>();

  private readonly flights = new Map<string, InFlightCount>();

  private constructor() {}

  static create(): ModelUsage {
    return new ModelUsage();
  }

  recordArrival(service: string, model: string, adapter: string | undefined): void {
    const key = keyOf(service, model, adapter);
    const arrivals = (this.uses.get(key)?.arrivals ?? 0) + 1;
    this.uses.set(key, { service, model, adapter, arrivals });
  }

  /** Counts a request as in flight; returns the function to call when it ends. */
  trackRequest(endpoint: string, model: string, adapter: string | undefined): () => void {
    const key = keyOf(endpoint, model, adapter);
    const adjust = (delta: number) => {
      const count = (this.flights.get(key)?.count ?? 0) + delta;
      if (count === 0) this.flights.delete(key);
      else this.flights.set(key, { endpoint, model, adapter, count });
    };
    adjust(1);
    return () => adjust(-1);
  }

  /** Returns and resets the arrivals since the last call, with the requests in flight now. */
  takeReport(): UsageReport {
    const uses = [...this.uses.values()];
    this.uses.clear();
    return { uses, flights: [...this.flights.values()] };
  }
}
