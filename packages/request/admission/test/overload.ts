import { SeededRandom } from '@currantdrift/core';
import {
  type AdmissionRequest,
  type AdmissionSettings,
  AdmissionQueue,
} from '@currantdrift/admission';

/** Slots of the simulated pool, mean service time and time until the deadline in ms. */
const slots = 10;
const meanMs = 200;
const deadlineMs = 1_000;

/** Answers per second that the pool can give. */
export const capacity = (slots * 1_000) / meanMs;

const simulatedMs = 40_000;

export interface SimulationResult {
  /** Answers given in time as a share of capacity. */
  goodput: number;
  /** Entries by how they were settled; the sum is the number of arrivals. */
  settled: Record<string, number>;
  arrivals: number;
  /** Number of answers given in time, by caller. */
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

/** Adds a request to the queue under test or to the baseline. */
type Enqueue = (request: AdmissionRequest, now: number) => void;

interface SimulatedPool {
  free(): boolean;
  start(request: AdmissionRequest, now: number, done: (now: number) => void): void;
  settle(kind: string): void;
  refusedAt(request: AdmissionRequest, now: number): void;
}

interface TestQueue {
  enqueue: Enqueue;
  pump(now: number): void;
}

/** Baseline: an unbounded FIFO queue without early refusal. */
export const fifo = (pool: SimulatedPool): TestQueue => {
  const waiting: AdmissionRequest[] = [];
  const pump = (now: number) => {
    while (waiting.length > 0 && pool.free()) {
      const request = waiting.shift();
      if (request === undefined) return;
      pool.settle('granted');
      pool.start(request, now, pump);
    }
  };
  return {
    enqueue: (request, now) => {
      waiting.push(request);
      pump(now);
    },
    pump,
  };
};

export const queue =
  (settings: Partial<AdmissionSettings> = {}) =>
  (pool: SimulatedPool): TestQueue => {
    let at = 0;
    const admission = AdmissionQueue.create(() => (pool.free() ? true : undefined), settings);
    return {
      enqueue: (request, now) => {
        at = now;
        admission
          .enqueue(request, now)
          .result.then((result) => {
            pool.settle(result.isOk() ? 'granted' : result.error.kind);
            if (result.isErr()) pool.refusedAt(request, at);
            else pool.start(request, at, (end) => result.value.finish(true, end));
          })
          .catch(() => {});
      },
      pump: (now) => {
        at = now;
        admission.pump(now);
      },
    };
  };

/** Simulates an open system in virtual time with exponential arrival gaps and service times. */
export const simulate = async (
  make: (pool: SimulatedPool) => TestQueue,
  load: Load,
): Promise<SimulationResult> => {
  const random = SeededRandom.create(load.seed);
  // Service times use a random sequence of their own, so that they are the same for all loads.
  const serviceRandom = SeededRandom.create(load.seed + 1_000);
  const exponential = (mean: number, source = random) => -Math.log(1 - source.next()) * mean;
  const events: { at: number; run: (now: number) => void }[] = [];
  const schedule = (at: number, run: (now: number) => void) => {
    let index = events.length;
    while (index > 0 && events[index - 1].at < at) index -= 1;
    events.splice(index, 0, { at, run });
  };
  const result: SimulationResult = {
    goodput: 0,
    settled: {},
    arrivals: 0,
    byCaller: {},
    lateRefusalMs: 0,
  };
  let busy = 0;
  let inTime = 0;
  const testQueue = make({
    // Reserves the slot when the grant is made, which is before its promise resolves.
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
    testQueue.enqueue({ caller: name, weight, priority, deadline: now + deadlineMs }, now);
    const next = now + exponential(1_000 / (capacity * load.times));
    if (next < simulatedMs) schedule(next, arrive);
  };
  const review = (now: number) => {
    testQueue.pump(now);
    if (now < simulatedMs + 2 * deadlineMs) schedule(now + 50, review);
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
