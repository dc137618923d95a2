import type { Random } from '@currantdrift/core';
import { OutlierDetector } from './outlier-detector';
import { type BalancerSettings, defaultBalancerSettings } from './settings';

/** An endpoint that can serve a request. */
export interface Candidate {
  readonly id: string;
  /** Distinguishes successive processes with the same id. */
  readonly bornAt: number;
  readonly slots: number;
  /** Network round trip time, in ms. */
  readonly roundTripMs: number;
}

/**
 * How a use of an endpoint ended. `refused`: it did not run the request; `failed`: it failed while
 * serving it; `unreachable`: no connection could be opened.
 */
export type ReservationOutcome = 'served' | 'refused' | 'failed' | 'unreachable' | 'abandoned';

/** A request's reservation at an endpoint. */
export interface Reservation {
  readonly endpoint: string;
  /** Predicted time to the first byte, in ms. */
  readonly predictedMs: number;
  /** Records that the first byte of the answer arrived after `elapsedMs`. */
  observeFirstByte(elapsedMs: number): void;
  /** Records the load that the endpoint reported. */
  observeLoad(running: number, waiting: number, now: number): void;
  release(end: ReservationOutcome, now: number): void;
}

/** Requests in flight at an endpoint, over all daemons. */
export interface EndpointLoad {
  readonly endpoint: string;
  readonly inFlight: number;
}

/** Number of daemons from which each considers only a sample of candidates, and its size. */
const minSamplingDaemons = 20;
const sampleSize = 3;

/** Time for which a reported load is used, in ms. */
const reportedLoadLifetimeMs = 1_000;

/** Weight of a new sample in the mean time to the first byte. */
const sampleWeight = 0.1;

/** Assumed time to the first byte of an endpoint that has not answered yet, in ms. */
const initialFirstByteMs = 50;

/**
 * Share of the mean time to the first byte that each running request adds, and its minimum in ms.
 */
const runningRequestShare = 0.1;
const minRunningRequestMs = 12;

/** Prompt tokens that an engine processes per ms. */
const promptTokensPerMs = 20;

/** Time added to the prediction right after a refusal, in ms; it falls to 0 over as long a time. */
const refusalPenaltyMs = 150;

/** Time for which an endpoint counts as unreachable after a connection failure, in ms. */
const unreachableMs = 1_500;

interface EndpointStats {
  readonly bornAt: number;
  readonly outlier: OutlierDetector;
  inFlight: number;
  /** Prompt tokens of own requests whose first byte has not arrived. */
  unreadTokens: number;
  meanMs: number;
  refusedAt: number;
  unreachableAt: number;
  reportedLoad: { readonly others: number; readonly at: number } | undefined;
}

/**
 * Chooses the endpoint with the lowest predicted time to the first byte. The prediction adds the
 * network round trip, the endpoint's mean and the cost of each running request. Own requests in
 * flight are counted exactly, those of other daemons are taken from the load that endpoints
 * report.
 */
export class PredictiveBalancer {
  private readonly statsByEndpoint = new Map<string, EndpointStats>();

  private constructor(
    private readonly random: Random,
    private readonly daemons: () => number,
    private readonly settings: BalancerSettings,
  ) {}

  /** `daemons` returns the number of daemons that choose among the same endpoints. */
  static create(
    random: Random,
    daemons: () => number,
    settings: Partial<BalancerSettings> = {},
  ): PredictiveBalancer {
    return new PredictiveBalancer(random, daemons, { ...defaultBalancerSettings, ...settings });
  }

  /**
   * Makes a reservation at the best candidate for a request with a prompt of `promptTokens`;
   * undefined if no candidate is usable. An endpoint that is still processing prompts of this
   * daemon gets no further prompt that would raise their total above `maxUnreadTokens`.
   */
  reserve(
    candidates: readonly Candidate[],
    promptTokens: number,
    maxUnreadTokens: number,
    now: number,
  ): Reservation | undefined {
    const withStats = candidates.map((candidate) => ({
      candidate,
      stats: this.statsOf(candidate),
    }));
    const notEjected = withStats.filter((one) => !one.stats.outlier.isEjected(now));
    const eligible = (notEjected.length > 0 ? notEjected : withStats).filter(
      ({ stats: { unreadTokens } }) =>
        unreadTokens === 0 || unreadTokens + promptTokens <= maxUnreadTokens,
    );
    const predicted = this.sample(eligible).map((one) => ({
      ...one,
      ms: PredictiveBalancer.predict(one.candidate, one.stats, now),
    }));
    if (predicted.length === 0) return undefined;
    const best = predicted.reduce((a, b) => (b.ms < a.ms ? b : a));
    return this.createReservation(best, promptTokens, now);
  }

  /** Records the numbers of requests in flight at endpoints, over all daemons. */
  observeFleetLoads(loads: readonly EndpointLoad[], now: number): void {
    loads.forEach(({ endpoint, inFlight }) => {
      const stats = this.statsByEndpoint.get(endpoint);
      if (stats === undefined) return;
      stats.reportedLoad = { others: Math.max(0, inFlight - stats.inFlight), at: now };
    });
  }

  /**
   * Returns a random sample of the candidates if there are many daemons. Otherwise daemons that
   * choose at the same time from the same reported loads would all send to the same best endpoint.
   */
  private sample<T>(candidates: readonly T[]): readonly T[] {
    if (candidates.length <= sampleSize || this.daemons() < minSamplingDaemons) return candidates;
    const left = [...candidates];
    return Array.from({ length: sampleSize }, () => {
      const [taken] = left.splice(Math.floor(this.random.next() * left.length), 1);
      return taken;
    });
  }

  /** Number of own requests in flight at an endpoint. */
  inFlight(id: string): number {
    return this.statsByEndpoint.get(id)?.inFlight ?? 0;
  }

  isEjected(id: string, now: number): boolean {
    return this.statsByEndpoint.get(id)?.outlier.isEjected(now) ?? false;
  }

  /** Whether a connection to the endpoint failed within the last `unreachableMs`. */
  isUnreachable(id: string, now: number): boolean {
    const stats = this.statsByEndpoint.get(id);
    return stats !== undefined && now - stats.unreachableAt < unreachableMs;
  }

  /** Removes endpoints that are not in `ids` and have no request in flight. */
  retain(ids: ReadonlySet<string>): void {
    this.statsByEndpoint.forEach(({ inFlight }, id) => {
      if (inFlight === 0 && !ids.has(id)) this.statsByEndpoint.delete(id);
    });
  }

  private static predict(candidate: Candidate, stats: EndpointStats, now: number): number {
    const { reportedLoad } = stats;
    const trusted = reportedLoad !== undefined && now - reportedLoad.at < reportedLoadLifetimeMs;
    const running = stats.inFlight + (trusted ? reportedLoad.others : 0);
    const excess = Math.max(0, running + 1 - candidate.slots);
    const runningMs = Math.max(minRunningRequestMs, runningRequestShare * stats.meanMs);
    const load = stats.meanMs * (1 + excess / candidate.slots) + runningMs * running;
    const sinceRefusal = now - stats.refusedAt;
    const penalty = Math.max(0, refusalPenaltyMs - sinceRefusal);
    const ramp = 1 / stats.outlier.ramp(now);
    // An engine processes prompts one after the other, so unread ones delay this request.
    const unreadMs = stats.unreadTokens / promptTokensPerMs;
    return candidate.roundTripMs + load * ramp + unreadMs + penalty;
  }

  private createReservation(
    { candidate, stats, ms }: { candidate: Candidate; stats: EndpointStats; ms: number },
    promptTokens: number,
    startedAt: number,
  ): Reservation {
    const one = stats;
    one.inFlight += 1;
    one.unreadTokens += promptTokens;
    let unread = promptTokens;
    const markPromptRead = () => {
      one.unreadTokens -= unread;
      unread = 0;
    };
    let released = false;
    return {
      endpoint: candidate.id,
      predictedMs: ms,
      observeFirstByte: (elapsedMs) => {
        markPromptRead();
        one.meanMs += (elapsedMs - one.meanMs) * sampleWeight;
      },
      observeLoad: (running, waiting, now) => {
        one.reportedLoad = { others: Math.max(0, running + waiting - one.inFlight), at: now };
      },
      release: (end, now) => {
        if (released) return;
        released = true;
        markPromptRead();
        one.inFlight -= 1;
        if (end === 'served') one.outlier.succeeded(startedAt, now);
        if (end === 'refused') one.refusedAt = now;
        if (end === 'unreachable') {
          one.unreachableAt = now;
          one.outlier.eject(now);
        }
        if (end === 'failed' && one.outlier.failed(startedAt, now)) one.outlier.eject(now);
      },
    };
  }

  private statsOf({ id, bornAt }: Candidate): EndpointStats {
    const found = this.statsByEndpoint.get(id);
    if (found !== undefined && found.bornAt === bornAt) return found;
    const stats: EndpointStats = {
      bornAt,
      outlier: OutlierDetector.create(this.settings),
      inFlight: 0,
      unreadTokens: 0,
      meanMs: initialFirstByteMs,
      refusedAt: -Infinity,
      unreachableAt: -Infinity,
      reportedLoad: undefined,
    };
    this.statsByEndpoint.set(id, stats);
    return stats;
  }
}
