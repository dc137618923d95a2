import type { Arrival, Limit } from './observations';
import type { Violation } from './violation';

/** Length of the window in which arrivals are counted, in ms. */
const windowMs = 4_000;

/** Arrivals in a window beyond one and a half times what the limit allows. */
const slack = 5;
const tolerance = 1.5;

/** Time after a process was told of a limit from which its calls count, in ms. */
const tellMs = 500;

const msPerSecond = 1_000;

const instanceOf = ({ process, start }: Arrival): string => `${process} ${start}`;

/** Time at which each process was first told of a limit of the endpoint, in its present start. */
const toldAt = (arrivals: readonly Arrival[]): Map<string, number> => {
  const told = new Map<string, number>();
  arrivals
    .filter(({ answeredAt, saysLimit }) => saysLimit && answeredAt !== undefined)
    .forEach((arrival) => {
      const key = instanceOf(arrival);
      told.set(key, Math.min(told.get(key) ?? Infinity, arrival.answeredAt ?? Infinity));
    });
  return told;
};

/** Highest limit of the endpoint in a span of time, in requests a second; undefined without one. */
const highestRate = (limits: readonly Limit[], from: number, to: number): number | undefined => {
  const rates = limits
    .filter((limit) => limit.from <= to && limit.to >= from)
    .map(({ ratePerS }) => ratePerS);
  return rates.length === 0 ? undefined : Math.max(...rates);
};

/**
 * Checks that all processes together send an endpoint no more than the limit that it states, counting
 * those that it has told. `settleMs` after it first states a limit the check begins.
 */
export const limitViolations = (
  limits: readonly Limit[],
  arrivals: readonly Arrival[],
  settleMs: number,
  isExcused: (arrival: Arrival) => boolean,
): Violation[] => {
  const told = toldAt(arrivals);
  const counted = arrivals
    .filter((arrival) => {
      const since = told.get(instanceOf(arrival)) ?? Infinity;
      const isTold = arrival.process === undefined || arrival.at >= since + tellMs;
      return isTold && !isExcused(arrival);
    })
    .sort((a, b) => a.at - b.at);
  let first = 0;
  let isExceeded = false;
  return counted.flatMap(({ at, endpoint }, index) => {
    while (counted[first].at <= at - windowMs) first += 1;
    const limit = limits.find(({ firstAt, to }) => firstAt + settleMs <= at && to >= at);
    const rate = highestRate(limits, at - windowMs, at);
    if (limit === undefined || rate === undefined) return [];
    const allowed = Math.floor((tolerance * rate * windowMs) / msPerSecond + slack);
    const count = index - first + 1;
    const wasExceeded = isExceeded;
    isExceeded = count > allowed;
    // Only the first of several arrivals above the limit is reported.
    if (!isExceeded || wasExceeded) return [];
    const text = `${endpoint} got ${count} calls in 4 s at a limit of ${rate} a second`;
    return [{ at, rule: 'request limit', text }];
  });
};
