/** Use of one model at this process since the last report. */
export interface ModelUse {
  readonly service: string;
  readonly model: string;
  readonly adapter: string | undefined;
  /** Requests that arrived since the last report. */
  readonly arrivals: number;
}

/** Own requests in flight for a model at an engine. */
export interface ModelFlight {
  readonly endpoint: string;
  readonly model: string;
  readonly adapter: string | undefined;
  readonly count: number;
}

export interface UsageReport {
  readonly uses: readonly ModelUse[];
  readonly flights: readonly ModelFlight[];
}

const keyOf = (...parts: (string | undefined)[]): string => parts.join('\u0000');

/** Counts what models are used for, for the controller. */
export class ModelUsage {
  private readonly uses = new Map<string, ModelUse>();

  private readonly flights = new Map<string, ModelFlight>();

  private constructor() {}

  static create(): ModelUsage {
    return new ModelUsage();
  }

  arrived(service: string, model: string, adapter: string | undefined): void {
    const key = keyOf(service, model, adapter);
    const arrivals = (this.uses.get(key)?.arrivals ?? 0) + 1;
    this.uses.set(key, { service, model, adapter, arrivals });
  }

  /** Counts a request in flight; gives the function that ends it. */
  begin(endpoint: string, model: string, adapter: string | undefined): () => void {
    const key = keyOf(endpoint, model, adapter);
    const change = (by: number) => {
      const count = (this.flights.get(key)?.count ?? 0) + by;
      if (count === 0) this.flights.delete(key);
      else this.flights.set(key, { endpoint, model, adapter, count });
    };
    change(1);
    return () => change(-1);
  }

  /** What happened since the last call, and what is in flight now. */
  takeReport(): UsageReport {
    const uses = [...this.uses.values()];
    this.uses.clear();
    return { uses, flights: [...this.flights.values()] };
  }
}
