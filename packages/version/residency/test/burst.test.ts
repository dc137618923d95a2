import { estimateReady, LoadForecasts, LoadPromises } from '../src';
import { type Estimates, replayBurst } from './burst-replay';

/** Delay that counts as within a promise besides its tolerance, in ms: plans are made at intervals. */
const graceMs = 100;

const quantile = (values: readonly number[], rank: number): number => {
  const sorted = [...values].sort((one, other) => one - other);
  return Math.round(sorted[Math.floor(rank * (sorted.length - 1))]);
};

const summary = ({ promises, ...counts }: ReturnType<typeof replayBurst>) => {
  const excess = promises.map(({ promisedMs, actualMs }) => actualMs - promisedMs);
  const kept = promises.filter(
    ({ promisedMs, actualMs }) => actualMs <= promisedMs * 1.2 + graceMs,
  );
  return {
    ...counts,
    promises: promises.length,
    keptPercent: Math.round((kept.length / promises.length) * 100),
    excessMs: {
      p50: quantile(excess, 0.5),
      p75: quantile(excess, 0.75),
      p90: quantile(excess, 0.9),
    },
  };
};

/** Estimates as the controller makes them. */
const estimates = (): Estimates => {
  const promises = LoadPromises.create();
  const forecasts = LoadForecasts.create();
  return {
    promise: (input, need, now) => {
      const estimate = estimateReady(input, need, now, forecasts);
      if (estimate === undefined) throw new Error(`${need.model} is not in the configuration`);
      promises.record('s', need.model, estimate, now);
      return promises.promise(estimate);
    },
    settle: (input, now) => promises.settle(input, now),
  };
};

/** The same replays with a planner whose estimates ignore the other models that wait for engines. */
const before = {
  60: { onTime: 588, keptPercent: 18, excessMs: { p50: 469, p75: 1_258, p90: 1_880 } },
  150: { onTime: 1_396, keptPercent: 12, excessMs: { p50: 1_480, p75: 3_372, p90: 5_867 } },
} as const;

// Guards against promises that ignore the other models that wait for the same engines: requests wait
// for several times the promised time and are late, instead of returning when their model is ready.
test.each([60, 150] as const)('a burst of %d requests per second for rare models', (perSecond) => {
  const after = summary(replayBurst(estimates(), perSecond));
  expect({ before: before[perSecond], after }).toMatchSnapshot();
  expect(after.onTime).toBeGreaterThan(before[perSecond].onTime);
  expect(after.keptPercent).toBeGreaterThan(80);
});
