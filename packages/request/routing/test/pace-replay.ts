import { SeededRandom } from '@currantdrift/core';
import { type EndpointStart, PredictiveBalancer, type Reservation } from '@currantdrift/routing';

/** Time step of a replay, and times of the reports on which the daemons rely, in ms. */
const stepMs = 10;
const announcementMs = 300;
const minReportMs = 250;
const reportMsPerDaemon = 5;
const pollMs = 1_000;

/** Time to the first byte at an idle endpoint, and until the end of the answer, in ms. */
const firstByteMs = 100;
const answerMs = 1_000;
const roundTripMs = 1;

/** Time to the first byte up to which a request is on time, in ms. */
export const targetMs = 400;

interface Running {
  readonly reservation: Reservation;
  readonly startedAt: number;
  firstByteAt: number;
  endsAt: number;
}

/** Factor of the times of an endpoint's first answers. */
const coldFactor = 2;

/** A server with a number of slots and a queue as long; its first answers take longer. */
export class FakeEndpoint {
  readonly running: Running[] = [];

  /** Requests that it took. */
  taken = 0;

  late = 0;

  rejected = 0;

  constructor(
    readonly start: EndpointStart,
    /** Number of answers that take `coldFactor` times as long after the start. */
    private coldAnswers: number,
    /** Factor of all times, in per cent. */
    readonly workTimePercent: (now: number) => number = () => 100,
  ) {}

  get inFlight(): number {
    return this.running.length;
  }

  /** Takes a request, or rejects it if the queue is full. */
  take(reservation: Reservation, now: number): void {
    const { slots } = this.start;
    if (this.running.length >= 2 * slots) {
      this.rejected += 1;
      reservation.release('refused', now);
      return;
    }
    const startFactor = this.taken < this.coldAnswers ? coldFactor : 1;
    this.taken += 1;
    const factor = (startFactor * this.workTimePercent(now)) / 100;
    const ends = this.running.map(({ endsAt }) => endsAt).sort((a, b) => a - b);
    const beginsAt = ends.length < slots ? now : Math.max(now, ends[ends.length - slots]);
    const firstByteAt = beginsAt + roundTripMs + firstByteMs * factor;
    if (firstByteAt - now > targetMs) this.late += 1;
    const endsAt = firstByteAt + answerMs * factor;
    this.running.push({ reservation, startedAt: now, firstByteAt, endsAt });
  }

  /** Sends the first bytes and ends of answers that are due. */
  advance(now: number, reportsSpeed: boolean): void {
    const { slots } = this.start;
    const begun = this.running.filter((one) => one.firstByteAt <= now);
    const running = Math.min(slots, this.inFlight);
    const waiting = this.inFlight - running;
    const workTimePercent = reportsSpeed ? this.workTimePercent(now) : undefined;
    begun.forEach((one) => {
      one.reservation.observeLoad({ running, waiting, workTimePercent }, now);
      one.reservation.observeFirstByte(one.firstByteAt - one.startedAt, now);
      Object.assign(one, { firstByteAt: Infinity });
    });
    const ended = this.running.filter((one) => one.endsAt <= now);
    ended.forEach((one) => {
      one.reservation.release('served', now);
      this.running.splice(this.running.indexOf(one), 1);
    });
  }
}

export interface ReplayOptions {
  readonly daemons: number;
  readonly requestsPerS: number;
  readonly untilMs: number;
  /** Endpoints that take requests at a time. */
  readonly endpoints: (now: number) => readonly FakeEndpoint[];
  /** Whether the daemons learn when endpoints start and how fast they are. */
  readonly paced: boolean;
  readonly onStep?: (now: number, live: readonly FakeEndpoint[]) => void;
}

/** Sends requests through the balancers of many daemons to endpoints whose load they hear of late. */
export const replay = (options: ReplayOptions): void => {
  const { daemons, requestsPerS, untilMs, endpoints, paced, onStep } = options;
  const random = SeededRandom.create(1);
  const balancers = Array.from({ length: daemons }, (_, index) =>
    PredictiveBalancer.create(SeededRandom.create(index + 2), () => daemons),
  );
  const reportMs = Math.max(minReportMs, daemons * reportMsPerDaemon);
  const reports = balancers.map(() => new Map<string, number>());
  const due = (now: number, everyMs: number, offset: number) =>
    Math.floor((now + offset) / everyMs) !== Math.floor((now + offset - stepMs) / everyMs);
  const seen = new Set<FakeEndpoint>();
  let arrivals = 0;
  for (let now = 0; now < untilMs; now += stepMs) {
    const live = endpoints(now);
    live.forEach((one) => seen.add(one));
    seen.forEach((one) => one.advance(now, paced));
    balancers.forEach((balancer, index) => {
      if (paced && due(now, pollMs, (index * pollMs) / daemons)) {
        balancer.observeEndpoints(
          live.map(({ start }) => start),
          now,
        );
      }
      if (!due(now, reportMs, (index * reportMs) / daemons)) return;
      live.forEach(({ start: { id } }) => reports[index].set(id, balancer.inFlight(id)));
    });
    if (due(now, announcementMs, 0)) {
      const loads = live.map(({ start: { id } }) => ({
        endpoint: id,
        inFlight: reports.reduce((sum, report) => sum + (report.get(id) ?? 0), 0),
      }));
      balancers.forEach((balancer) => balancer.observeFleetLoads(loads, now));
    }
    const candidates = live.map(({ start }) => ({ ...start, roundTripMs }));
    for (arrivals += (requestsPerS * stepMs) / 1_000; arrivals >= 1; arrivals -= 1) {
      const balancer = balancers[Math.floor(random.next() * daemons)];
      const reservation = balancer.reserve(candidates, 0, Infinity, now);
      const chosen = live.find(({ start: { id } }) => id === reservation?.endpoint);
      if (reservation !== undefined) chosen?.take(reservation, now);
    }
    onStep?.(now, live);
  }
};
