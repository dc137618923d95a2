import type { WaitingRequest } from './demand';
import { LoadForecast } from './load-forecast';
import type { PlanInput } from './plan-input';

/** The latest forecast of each service, which the estimates of a short time share. */
export class LoadForecasts {
  private readonly byService = new Map<string, LoadForecast>();

  private constructor() {}

  static create(): LoadForecasts {
    return new LoadForecasts();
  }

  /** A forecast that includes the request's model; undefined if no model has to be loaded. */
  current(input: PlanInput, now: number, request: WaitingRequest): LoadForecast | undefined {
    const known = this.byService.get(input.service);
    if (known?.isUsable(request.model, now)) return known;
    const forecast = LoadForecast.create(input, now, request);
    if (forecast === undefined) this.byService.delete(input.service);
    else this.byService.set(input.service, forecast);
    return forecast;
  }
}
