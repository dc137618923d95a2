import type { Random } from '@currantdrift/core';
import { Outlier } from './outlier-detector';
import { type BalancerSettings, defaultBalancerSettings } from './settings';

/** An endpoint that can serve a request. */
export interface Candidate {
  readonly id: string;
  /** Differs between starts under one id. */
  readonly bornAt: number;
  readonly slots: number;
  /** Time of a message there and back, in ms. */
  readonly roundTripMs: number;
}

/**
 * How a use of an endpoint ended. `refused`: it did not run the request; `failed`: it broke;
 * `unreachable`: no connection could be opened.
 */
export type PlaceEnd = 'served' | 'refused' | 'failed' | 'unreachable' | 'abandoned';

/** A request's place at an endpoint. */
export interface Reservation {
  readonly endpoint: string;
  /** Time to the first byte as it was predicted, in ms. */
  readonly predictedMs: number;
  /** States that the first byte of the answer came after `elapsedMs`. */
  observeFirstByte(elapsedMs: number): void;
  /** States the load that the endpoint reported. */
  observeLoad(running: number, waiting: number, now: number): void;
  release(end: PlaceEnd, now: number): void;
}

/** Requests in flight at an endpoint, over all daemons. */
export interface EndpointLoad {
  readonly endpoint: string;
  readonly inFlight: number;
}

/** Number of daemons from which each looks at some candidates only, and how many these are. */
const manyDaemons = 20;
const sampleSize = 3;

/** Time for which a load that an endpoint stated is believed, in ms. */
const statedLoadLifetimeMs = 1_000;

/** Share of a new sample in the mean time to the first byte. */
const sampleWeight = 0.1;

/** Time to the first byte of an endpoint that has not answered yet, in ms. */
const unknownFirstByteMs = 50;

/** Part of the mean time to the first byte that each running request adds, and the least in ms. */
const runningShare = 0.1;
const minRunningMs = 12;

/** Prompt tokens that an engine reads in one ms. */
const promptTokensPerMs = 20;

/** Time by which requests avoid an endpoint after it refused one as full, in ms. */
const refusalPenaltyMs = 150;

/** Time for which an endpoint counts as unreachable after a failed connection, in ms. */
const unreachableMs = 1_500;

interface Known {
  readonly bornAt: number;
  readonly outlier: Outlier;
  inFlight: number;
  /** Prompt tokens of own requests whose first byte has not come. */
  unreadTokens: number;
  meanMs: number;
  refusedAt: number;
  unreachableAt: number;
  stated: { readonly others: number; readonly at: number } | undefined;
}

/**
 * Chooses the endpoint with the lowest predicted time to the first byte. The prediction adds the
 * way there, the endpoint's own mean and what each running request costs; own requests in flight are
 * known exactly, those of other daemons from the load that endpoints state with their answers.
 */
export class PredictiveBalancer {
  private readonly known = new Map<string, Known>();

  private constructor(
    private readonly random: Random,
    private readonly daemons: () => number,
    private readonly settings: BalancerSettings,
  ) {}

  /** `daemons` is the number of daemons that choose among the same endpoints. */
  static create(
    random: Random,
    daemons: () => number,
    settings: Partial<BalancerSettings> = {},
  ): PredictiveBalancer {
    return new PredictiveBalancer(random, daemons, { ...defaultBalancerSettings, ...settings });
  }

  /**
   * Takes a place at the best candidate for a request with a prompt of `promptTokens`; undefined if
   * there is no candidate. An endpoint with unread prompts of this process gets no further prompt that
   * would bring them above `maxUnreadTokens`.
   */
  reserve(
    candidates: readonly Candidate[],
    promptTokens: number,
    maxUnreadTokens: number,
    now: number,
  ): Reservation | undefined {
    const known = candidates.map((candidate) => ({ candidate, known: this.know(candidate) }));
    const inService = known.filter((one) => !one.known.outlier.isEjected(now));
    const considered = (inService.length > 0 ? inService : known).filter(
      ({ known: { unreadTokens } }) =>
        unreadTokens === 0 || unreadTokens + promptTokens <= maxUnreadTokens,
    );
    const predicted = this.sample(considered).map((one) => ({
      ...one,
      ms: PredictiveBalancer.predict(one.candidate, one.known, now),
    }));
    if (predicted.length === 0) return undefined;
    const best = predicted.reduce((a, b) => (b.ms < a.ms ? b : a));
    return this.lend(best, promptTokens, now);
  }

  /** States the requests in flight at endpoints, over all daemons. */
  observeFleetLoads(loads: readonly EndpointLoad[], now: number): void {
    loads.forEach(({ endpoint, inFlight }) => {
      const known = this.known.get(endpoint);
      if (known === undefined) return;
      known.stated = { others: Math.max(0, inFlight - known.inFlight), at: now };
    });
  }

  /**
   * Some of the candidates at random, if many daemons choose. Answers the load pattern "many daemons
   * choose at once with loads of the same age": the best of all would get the requests of all of them.
   */
  private sample<T>(candidates: readonly T[]): readonly T[] {
    if (candidates.length <= sampleSize || this.daemons() < manyDaemons) return candidates;
    const left = [...candidates];
    return Array.from({ length: sampleSize }, () => {
      const [taken] = left.splice(Math.floor(this.random.next() * left.length), 1);
      return taken;
    });
  }

  /** Own requests in flight at an endpoint. */
  inFlight(id: string): number {
    return this.known.get(id)?.inFlight ?? 0;
  }

  isEjected(id: string, now: number): boolean {
    return this.known.get(id)?.outlier.isEjected(now) ?? false;
  }

  /** Whether a connection to the endpoint failed a short time ago. */
  isUnreachable(id: string, now: number): boolean {
    const known = this.known.get(id);
    return known !== undefined && now - known.unreachableAt < unreachableMs;
  }

  /** Forgets endpoints that are not among `ids` and have no request in flight. */
  retain(ids: ReadonlySet<string>): void {
    this.known.forEach(({ inFlight }, id) => {
      if (inFlight === 0 && !ids.has(id)) this.known.delete(id);
    });
  }

  private static predict(candidate: Candidate, known: Known, now: number): number {
    const { stated } = known;
    const trusted = stated !== undefined && now - stated.at < statedLoadLifetimeMs;
    const running = known.inFlight + (trusted ? stated.others : 0);
    const over = Math.max(0, running + 1 - candidate.slots);
    const runningMs = Math.max(minRunningMs, runningShare * known.meanMs);
    const load = known.meanMs * (1 + over / candidate.slots) + runningMs * running;
    const sinceRefusal = now - known.refusedAt;
    const penalty = Math.max(0, refusalPenaltyMs - sinceRefusal);
    const ramp = 1 / known.outlier.ramp(now);
    // Prompts are read one after the other, so those sent just before hold this one up.
    const unreadMs = known.unreadTokens / promptTokensPerMs;
    return candidate.roundTripMs + load * ramp + unreadMs + penalty;
  }

  private lend(
    { candidate, known, ms }: { candidate: Candidate; known: Known; ms: number },
    promptTokens: number,
    startedAt: number,
  ): Reservation {
    const one = known;
    one.inFlight += 1;
    one.unreadTokens += promptTokens;
    let unread = promptTokens;
    const read = () => {
      one.unreadTokens -= unread;
      unread = 0;
    };
    let released = false;
    return {
      endpoint: candidate.id,
      predictedMs: ms,
      observeFirstByte: (elapsedMs) => {
        read();
        one.meanMs += (elapsedMs - one.meanMs) * sampleWeight;
      },
      observeLoad: (running, waiting, now) => {
        one.stated = { others: Math.max(0, running + waiting - one.inFlight), at: now };
      },
      release: (end, now) => {
        if (released) return;
        released = true;
        read();
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

  private know({ id, bornAt }: Candidate): Known {
    const found = this.known.get(id);
    if (found !== undefined && found.bornAt === bornAt) return found;
    const known: Known = {
      bornAt,
      outlier: Outlier.create(this.settings),
      inFlight: 0,
      unreadTokens: 0,
      meanMs: unknownFirstByteMs,
      refusedAt: -Infinity,
      unreachableAt: -Infinity,
      stated: undefined,
    };
    this.known.set(id, known);
    return known;
  }
}
