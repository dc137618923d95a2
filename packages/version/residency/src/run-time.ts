import { fleetIndex, type PlanInput } from './plan-input';

/** Total arrivals per second below which too few requests run for a mean. */
const minArrivalsPerSecond = 1;

/** Bounds of the estimated run time, as multiples of `expectedRunMs`. */
const minRunRatio = 0.25;
const maxRunRatio = 4;

/** Limit on the exponent of `idleAfterMs`; a busier model is practically never idle. */
const maxConcurrency = 3;

/**
 * Mean time that a request runs at an engine, in ms: the requests in flight divided by the arrivals
 * per second (Little's law), over all models that are loaded.
 */
export const meanRunMs = (input: PlanInput, now: number): number => {
  const { pool, demand, service, settings } = input;
  const fleet = fleetIndex(input);
  let inFlight = 0;
  let perSecond = 0;
  pool.models.forEach((_model, name) => {
    if (fleet.replicas(name).length === 0) return;
    inFlight += fleet.inFlight(name);
    perSecond += demand.rate(service, name, now);
  });
  const { expectedRunMs } = settings;
  if (perSecond < minArrivalsPerSecond) return expectedRunMs;
  const runMs = (inFlight / perSecond) * demand.coverage(service, now) * 1000;
  return Math.min(expectedRunMs * maxRunRatio, Math.max(expectedRunMs * minRunRatio, runMs));
};

/** Expected time until the last of `inFlight` running requests ends, in ms. */
export const drainTimeMs = (inFlight: number, runMs: number): number =>
  inFlight === 0 ? 0 : runMs * (1 + Math.log(Math.max(1, inFlight)));

/**
 * Expected time until a model that still receives requests has none in flight, in ms. It grows
 * exponentially with the mean number of concurrent requests, as the busy period of a queue does.
 */
export const idleAfterMs = (drainMs: number, perSecond: number, runMs: number): number =>
  drainMs * Math.exp(Math.min(maxConcurrency, (perSecond * runMs) / 1000));
