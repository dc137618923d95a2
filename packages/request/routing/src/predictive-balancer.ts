import type { Random } from '@currantdrift/core';
import { ArrivalRate } from './arrival-rate';
import { PaceCause } from './endpoint-pace';
import { type Candidate, EndpointStats, type ReportedLoad, type Sharing } from './endpoint-stats';
import { type EndpointStart, KnownStarts } from './known-starts';
import { PaceLog, type PaceObserver } from './pace-log';
import { type BalancerSettings, defaultBalancerSettings } from './settings';
import { weightedSample } from './weighted-sample';

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
  observeFirstByte(elapsedMs: number, now: number): void;
  /** Records the load that the endpoint reported. */
  observeLoad(load: ReportedLoad, now: number): void;
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

/** Assumed time for which a request stays in flight, in ms, where no candidate has shown one. */
const usualHoldMs = 1_000;

/** Weight of a new sample in the mean number of candidates. */
const candidatesWeight = 0.05;

const mean = (values: readonly number[]): number | undefined =>
  values.length > 0 ? values.reduce((a, b) => a + b, 0) / values.length : undefined;

/** A candidate with what is known and predicted of it. */
interface Option {
  readonly candidate: Candidate;
  readonly stats: EndpointStats;
  /** Predicted time to the first byte, in ms. */
  readonly ms: number;
}

/**
 * Chooses the endpoint with the lowest predicted time to the first byte. The prediction adds the
 * network round trip, the endpoint's mean and the cost of each running request. Own requests in
 * flight are counted exactly, those of other daemons are taken from the load that endpoints
 * report. An endpoint that started, returned or recovered is chosen only as far as its pace allows.
 */
export class PredictiveBalancer {
  private readonly statsByEndpoint = new Map<string, EndpointStats>();

  private readonly starts = KnownStarts.create();

  private readonly arrivals = ArrivalRate.create();

  private meanCandidates = 1;

  private constructor(
    private readonly random: Random,
    private readonly daemons: () => number,
    private readonly settings: BalancerSettings,
    private readonly paceLog: PaceLog,
  ) {}

  /** `daemons` returns the number of daemons that choose among the same endpoints. */
  static create(
    random: Random,
    daemons: () => number,
    settings: Partial<BalancerSettings> = {},
    observer?: PaceObserver,
  ): PredictiveBalancer {
    const all = { ...defaultBalancerSettings, ...settings };
    return new PredictiveBalancer(random, daemons, all, PaceLog.create(observer));
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
    this.arrivals.record(now);
    this.meanCandidates += (candidates.length - this.meanCandidates) * candidatesWeight;
    const options = candidates.map((candidate) => this.option(candidate, now));
    const notEjected = options.filter((one) => !one.stats.outlier.isEjected(now));
    const eligible = (notEjected.length > 0 ? notEjected : options).filter(({ stats }) =>
      stats.mayTakePrompt(promptTokens, maxUnreadTokens),
    );
    const best = this.choose(eligible, now);
    return best && this.createReservation(best, promptTokens, now);
  }

  /** Records the numbers of requests in flight at endpoints, over all daemons. */
  observeFleetLoads(loads: readonly EndpointLoad[], now: number): void {
    loads.forEach(({ endpoint, inFlight }) => {
      const stats = this.statsByEndpoint.get(endpoint);
      if (stats === undefined) return;
      stats.observeFleetLoad(inFlight, now);
      this.paceLog.note(endpoint, stats.pace.cause, now);
    });
  }

  /**
   * Records the endpoints that exist, so that one that starts from now on opens gradually, and forgets
   * those that do not exist and have no request in flight.
   */
  observeEndpoints(endpoints: readonly EndpointStart[], now: number): void {
    const ids = new Set(endpoints.map(({ id }) => id));
    this.statsByEndpoint.forEach(({ inFlight }, id) => {
      if (inFlight > 0 || ids.has(id)) return;
      this.statsByEndpoint.delete(id);
      this.paceLog.forget(id);
    });
    this.starts.observe(endpoints, now).forEach((start) => {
      this.beginStart(this.statsOf(start, now), start, now);
    });
  }

  /** Number of own requests in flight at an endpoint. */
  inFlight(id: string): number {
    return this.statsByEndpoint.get(id)?.inFlight ?? 0;
  }

  isEjected(id: string, now: number): boolean {
    return this.statsByEndpoint.get(id)?.outlier.isEjected(now) ?? false;
  }

  /** Whether a connection to the endpoint failed recently. */
  isUnreachable(id: string, now: number): boolean {
    return this.statsByEndpoint.get(id)?.isUnreachable(now) ?? false;
  }

  /** The best option that the pace of its endpoint allows; the best of all if none allows it. */
  private choose(eligible: readonly Option[], now: number): Option | undefined {
    const sampled = [...this.sample(eligible)].sort((a, b) => a.ms - b.ms);
    const allowed = sampled.find((option) => this.isAllowed(option, eligible, now));
    if (allowed !== undefined) return allowed;
    const open = eligible.filter(({ stats }) => stats.pace.cause === undefined);
    if (open.length === 0) return sampled.at(0);
    return [...this.sample(open)].sort((a, b) => a.ms - b.ms).at(0);
  }

  private isAllowed({ stats }: Option, all: readonly Option[], now: number): boolean {
    if (stats.pace.cause === undefined) return true;
    const chance = stats.chanceOfUse(this.sharing(all, now), now);
    if (chance >= 1 || this.random.next() < chance) return true;
    this.paceLog.countDeferral(stats.pace.cause);
    return false;
  }

  private sharing(options: readonly Option[], now: number): Sharing {
    const settled = options.filter(({ stats }) => stats.pace.cause === undefined);
    const daemons = this.daemons();
    const considered =
      daemons < minSamplingDaemons
        ? this.meanCandidates
        : Math.min(sampleSize, this.meanCandidates);
    const expectedShare = Math.min(1, considered / Math.max(1, this.statsByEndpoint.size));
    return {
      daemons,
      expectedPerMs: this.arrivals.perMs(now) * expectedShare,
      holdMs: mean(settled.flatMap(({ stats }) => stats.holdMs ?? [])) ?? usualHoldMs,
      firstByteMs: mean(settled.flatMap(({ stats }) => stats.firstByteMs ?? [])),
    };
  }

  /**
   * Returns a random sample of the options if there are many daemons. Otherwise daemons that
   * choose at the same time from the same reported loads would all send to the same best endpoint.
   */
  private sample(options: readonly Option[]): readonly Option[] {
    if (this.daemons() < minSamplingDaemons) return options;
    return weightedSample(options, sampleSize, ({ candidate }) => candidate.slots, this.random);
  }

  private option(candidate: Candidate, now: number): Option {
    const stats = this.statsOf(candidate, now);
    return { candidate, stats, ms: stats.predict(candidate, now) };
  }

  private createReservation(
    { candidate, stats, ms }: Option,
    promptTokens: number,
    startedAt: number,
  ): Reservation {
    const { id, slots } = candidate;
    const isOnlyPrompt = stats.unreadTokens === 0;
    stats.begin(promptTokens);
    let unread = promptTokens;
    let mayWait = true;
    const markPromptRead = () => {
      stats.readPrompt(unread);
      unread = 0;
    };
    const note = (now: number) => {
      if (this.statsByEndpoint.get(id) === stats) this.paceLog.note(id, stats.pace.cause, now);
    };
    let released = false;
    return {
      endpoint: id,
      predictedMs: ms,
      observeFirstByte: (elapsedMs, now) => {
        markPromptRead();
        stats.observeFirstByte(elapsedMs, promptTokens, candidate, this.daemons(), now);
        if (isOnlyPrompt && !mayWait) {
          stats.observePrefill(promptTokens, elapsedMs, candidate.roundTripMs, now);
        }
        note(now);
      },
      observeLoad: (load, now) => {
        mayWait = load.waiting > 0;
        stats.observeLoad(load, slots, now);
        note(now);
      },
      release: (end, now) => {
        if (released) return;
        released = true;
        markPromptRead();
        stats.end();
        if (end === 'served') {
          stats.outlier.succeeded(startedAt, now);
          stats.observeEnd(now - startedAt);
        }
        if (end === 'refused') stats.observeRefusal(now);
        if (end === 'unreachable') {
          stats.observeUnreachable(now);
          stats.eject(slots, now);
        }
        if (end === 'failed' && stats.outlier.failed(startedAt, now)) stats.eject(slots, now);
        note(now);
      },
    };
  }

  private statsOf(candidate: EndpointStart, now: number): EndpointStats {
    const { id, bornAt } = candidate;
    const found = this.statsByEndpoint.get(id);
    if (found !== undefined && found.bornAt === bornAt) return found;
    const stats = EndpointStats.create(bornAt, this.settings);
    this.statsByEndpoint.set(id, stats);
    this.paceLog.forget(id);
    if (this.starts.observeCandidate(candidate, now)) this.beginStart(stats, candidate, now);
    return stats;
  }

  private beginStart(stats: EndpointStats, { id, slots }: EndpointStart, now: number): void {
    stats.open(PaceCause.start, slots, 0, now);
    this.paceLog.note(id, stats.pace.cause, now);
  }
}
