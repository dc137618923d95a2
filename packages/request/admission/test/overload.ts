import { SeededRandom } from '@currantdrift/core';
import {
  type AdmissionRequest,
  type AdmissionSettings,
  AdmissionQueue,
} from '@currantdrift/admission';

/** Slots of the simulated pool, mean service time and relative deadline in ms. */
const slots = 10;
const meanMs = 200;
const patienceMs = 1_000;

/** Answers for each second that the pool can give. */
export const capacity = (slots * 1_000) / meanMs;

const simulatedMs = 40_000;

export interface Simulated {
  /** Share of capacity that went into answers in time. */
  goodput: number;
  /** Entries by how they were settled; the sum is the number of arrivals. */
  settled: Record<string, number>;
  arrivals: number;
  /** Answers in time by caller. */
  byCaller: Record<string, number>;
  /** Longest time after its deadline at which an entry was refused, in ms. */
  lateRefusalMs: number;
}

export interface Load {
  /** Arrival rate as a multiple of capacity. */
  times: number;
  seed: number;
  /** Callers, drawn evenly, with weight and priority. */
  callers: readonly { name: string; weight: number; priority: number }[];
}

/** A place to wait: the queue under test, or the baseline. */
type Enter = (request: AdmissionRequest, now: number) => void;

interface World {
  free(): boolean;
  start(request: AdmissionRequest, now: number, done: (now: number) => void): void;
  settle(kind: string): void;
  refusedAt(request: AdmissionRequest, now: number): void;
}

interface Place {
  enter: Enter;
  pump(now: number): void;
}

/** First in, first out, without a bound and without early refusal. */
export const fifo = (world: World): Place => {
  const waiting: AdmissionRequest[] = [];
  const pump = (now: number) => {
    while (waiting.length > 0 && world.free()) {
      const request = waiting.shift();
      if (request === undefined) return;
      world.settle('granted');
      world.start(request, now, pump);
    }
  };
  return {
    enter: (request, now) => {
      waiting.push(request);
      pump(now);
    },
    pump,
  };
};

export const queue =
  (settings: Partial<AdmissionSettings> = {}) =>
  (world: World): Place => {
    let at = 0;
    const admission = AdmissionQueue.create(() => (world.free() ? true : undefined), settings);
    return {
      enter: (request, now) => {
        at = now;
        admission
          .enter(request, now)
          .result.then((result) => {
            world.settle(result.isOk() ? 'granted' : result.error.kind);
            if (result.isErr()) world.refusedAt(request, at);
            else world.start(request, at, (end) => result.value.finish(true, end));
          })
          .catch(() => {});
      },
      pump: (now) => {
        at = now;
        admission.pump(now);
      },
    };
  };

/** Open arrivals in virtual time, exponential gaps and service times, an own event list. */
export const simulate = async (make: (world: World) => Place, load: Load): Promise<Simulated> => {
  const random = SeededRandom.create(load.seed);
  // Service times have a sequence of their own, so that all loads meet the same ones.
  const serviceRandom = SeededRandom.create(load.seed + 1_000);
  const exponential = (mean: number, source = random) => -Math.log(1 - source.next()) * mean;
  const events: { at: number; run: (now: number) => void }[] = [];
  const schedule = (at: number, run: (now: number) => void) => {
    let index = events.length;
    while (index > 0 && events[index - 1].at < at) index -= 1;
    events.splice(index, 0, { at, run });
  };
  const result: Simulated = {
    goodput: 0,
    settled: {},
    arrivals: 0,
    byCaller: {},
    lateRefusalMs: 0,
  };
  let busy = 0;
  let inTime = 0;
  const place = make({
    // A slot is taken when the grant is made, which is before its promise is seen.
    free: () => {
      if (busy >= slots) return false;
      busy += 1;
      return true;
    },
    start: (request, now, done) => {
      schedule(now + exponential(meanMs, serviceRandom), (end) => {
        busy -= 1;
        if (end <= request.deadline && end <= simulatedMs) {
          inTime += 1;
          result.byCaller[request.caller] = (result.byCaller[request.caller] ?? 0) + 1;
        }
        done(end);
      });
    },
    settle: (kind) => {
      result.settled[kind] = (result.settled[kind] ?? 0) + 1;
    },
    refusedAt: (request, now) => {
      result.lateRefusalMs = Math.max(result.lateRefusalMs, now - request.deadline);
    },
  });
  const arrive = (now: number) => {
    const { name, weight, priority } =
      load.callers[Math.floor(random.next() * load.callers.length)];
    result.arrivals += 1;
    place.enter({ caller: name, weight, priority, deadline: now + patienceMs }, now);
    const next = now + exponential(1_000 / (capacity * load.times));
    if (next < simulatedMs) schedule(next, arrive);
  };
  const review = (now: number) => {
    place.pump(now);
    if (now < simulatedMs + 2 * patienceMs) schedule(now + 50, review);
  };
  schedule(0, arrive);
  schedule(0, review);
  for (let event = events.pop(); event !== undefined; event = events.pop()) {
    event.run(event.at);
    for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
  }
  result.goodput = inTime / ((simulatedMs / 1_000) * capacity);
  return result;
};
