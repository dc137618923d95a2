import { type CalendarWindow, type Random, SeededRandom } from '@currantdrift/core';
import { defaultPlacementSettings } from '../settings';

/** A model or adapter of a simulated deployment, and its requests. */
export interface SimulatedItem {
  readonly name: string;
  readonly coldStartSeconds: number;
  readonly accelerators: number;
  readonly calendar: readonly CalendarWindow[];
  /** Arrival times in ms since the start, ascending. */
  readonly arrivals: readonly number[];
}

export interface ArrivalOptions {
  readonly models: number;
  readonly adapters: number;
  /** Fraction of the models that are called periodically. */
  readonly periodicShare: number;
  /** Fraction of the models that a nightly review job uses. */
  readonly reviewShare: number;
  readonly days: number;
  readonly seed: number;
}

const minuteMs = 60_000;

const hourMs = 60 * minuteMs;

const dayMs = 24 * hourMs;

const reviewWindow: CalendarWindow = { from: '22:00', to: '23:00' };

/** Bytes of one accelerator's memory that are available for weights. */
const acceleratorBytes = 40e9;

/** Fraction of an accelerator that an adapter occupies. */
const adapterShare = 0.01;

const adapterSeconds = 0.02;

/** Relative request rate by hour of the day. */
const relativeRate = (hour: number): number =>
  0.05 + Math.exp(-(((hour - 11) / 3) ** 2)) + 0.8 * Math.exp(-(((hour - 17) / 2.5) ** 2));

const exponential = (random: Random, mean: number): number => -mean * Math.log(1 - random.next());

const logNormal = (random: Random, median: number, sigma: number): number => {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  return median * Math.exp(sigma * normal);
};

/** Arrival times of one visit's requests, with gaps in which the user reads the answers. */
const visitRequests = (random: Random, start: number, meanRequests: number): number[] => {
  const times = [start];
  while (random.next() < 1 - 1 / meanRequests) {
    times.push(times[times.length - 1] + logNormal(random, 40_000, 1));
  }
  return times;
};

/** Arrival times of visits that follow a Poisson process with the daily rate profile. */
const visitArrivals = (random: Random, perDay: number, days: number): number[] => {
  const times: number[] = [];
  const peak = 1.1;
  const mean = 0.37;
  const gap = dayMs / (perDay * (peak / mean));
  for (let at = exponential(random, gap); at < days * dayMs; at += exponential(random, gap)) {
    if (random.next() < relativeRate((at % dayMs) / hourMs) / peak) {
      times.push(...visitRequests(random, at, 6));
    }
  }
  return times;
};

const timerArrivals = (random: Random, days: number): number[] => {
  const periods = [20, 30, 60, 120, 240].map((minutes) => minutes * minuteMs);
  const period = periods[Math.floor(random.next() * periods.length)];
  const times: number[] = [];
  for (let at = random.next() * period; at < days * dayMs; at += period) {
    const due = at + (random.next() - 0.5) * 0.04 * period;
    const requests = 1 + Math.floor(random.next() * 3);
    for (let index = 0; index < requests; index += 1) {
      times.push(Math.max(0, due) + index * 8_000);
    }
  }
  return times;
};

const reviewArrivals = (random: Random, days: number): number[] =>
  Array.from({ length: days }, (_, day) => {
    const times = [day * dayMs + 22 * hourMs + random.next() * 5 * minuteMs];
    const requests = 20 + Math.floor(random.next() * 40);
    while (times.length < requests) {
      times.push(times[times.length - 1] + exponential(random, 40_000));
    }
    return times;
  }).flat();

/** Visits per day by popularity rank, from one every two hours to one in five days. */
const visitsPerDay = (rank: number): number => Math.max(0.2, 12 / (rank + 1) ** 0.8);

const coldSecondsOf = (random: Random, bytes: number): number => {
  const { bytesPerMs } = defaultPlacementSettings;
  const place = random.next();
  if (place < 0.2) return bytes / bytesPerMs.memory / 1000;
  return place < 0.65 ? bytes / bytesPerMs.disk / 1000 : bytes / bytesPerMs.remote / 1000;
};

/** Generates seeded arrivals; each request for an adapter also counts for its model. */
export const simulateArrivals = (options: ArrivalOptions): readonly SimulatedItem[] => {
  const { models, adapters, periodicShare, reviewShare, days, seed } = options;
  const random = SeededRandom.create(seed);
  const ownArrivals = (index: number) => {
    if (index < models * periodicShare) return timerArrivals(random, days);
    return visitArrivals(random, visitsPerDay(Math.floor(index - models * periodicShare)), days);
  };
  const base = Array.from({ length: models }, (_, index) => {
    const bytes = 10e9 + random.next() * 130e9;
    const inReview = index >= models * (1 - reviewShare);
    return {
      name: `model-${index}`,
      coldStartSeconds: coldSecondsOf(random, bytes),
      accelerators: Math.ceil(bytes / acceleratorBytes),
      calendar: inReview ? [reviewWindow] : [],
      arrivals: [...ownArrivals(index), ...(inReview ? reviewArrivals(random, days) : [])],
    };
  });
  const extra = Array.from({ length: adapters }, (_, index) => ({
    name: `model-${index % models}:adapter-${index}`,
    coldStartSeconds: adapterSeconds,
    accelerators: adapterShare,
    calendar: [],
    arrivals: visitArrivals(random, visitsPerDay(index) / 2, days),
  }));
  const sorted = (times: readonly number[]) =>
    [...times].filter((at) => at < days * dayMs).sort((a, b) => a - b);
  return [
    ...base.map((model) => ({
      ...model,
      arrivals: sorted([
        ...model.arrivals,
        ...extra
          .filter(({ name }) => name.startsWith(`${model.name}:`))
          .flatMap(({ arrivals }) => arrivals),
      ]),
    })),
    ...extra.map((adapter) => ({ ...adapter, arrivals: sorted(adapter.arrivals) })),
  ];
};
