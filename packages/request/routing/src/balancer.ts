import { type EndpointState, HostState, type Random } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import type { Lease, NoEndpoint, LeaseOutcome } from './lease';
import { EndpointPace, PaceCause } from './endpoint-pace';
import { OutlierDetector } from './outlier-detector';
import type { PrefixIndex } from './prefix-index';
import { type BalancerSettings, defaultBalancerSettings } from './settings';

/** Load level, in eighths, at which as many requests wait at an endpoint as run there. */
const maxLevel = 16;

/** A request to be routed. */
export interface RouteRequest {
  /** Endpoints that can serve it, as known in this domain. */
  readonly candidates: readonly EndpointState[];
  /** Names of endpoints that were already tried for this request. */
  readonly tried?: readonly string[];
  /** Item key and hashes of the prompt's prefixes, shortest first, for cache affinity. */
  readonly item?: string;
  readonly prefixes?: readonly string[];
}

export interface BalancerOptions {
  readonly random: Random;
  readonly prefixes?: PrefixIndex;
  /** Called after a lease was released, when waiting requests may find capacity. */
  readonly onRelease?: (endpoint: string, now: number) => void;
  /** Called after an endpoint was ejected until `until`, in ms since the epoch. */
  readonly onEject?: (endpoint: string, until: number) => void;
  readonly settings?: Partial<BalancerSettings>;
}

/** State of an endpoint for metrics and operators. */
export interface EndpointStatus {
  readonly endpoint: string;
  readonly inFlight: number;
  readonly limit: number;
  readonly ejectedUntil: number | undefined;
}

/** State of an endpoint, as observed by this daemon's own requests. */
interface EndpointStats {
  readonly name: string;
  readonly pool: string;
  readonly incarnation: number;
  bootId: string;
  slots: number;
  inFlight: number;
  usedAt: number;
  pace: EndpointPace;
  outlier: OutlierDetector;
}

/** Chooses among warm replicas and enforces the concurrency limits of endpoints. */
export class Balancer {
  private readonly statsByEndpoint = new Map<string, EndpointStats>();

  private prunedAt = 0;

  private readonly settings: BalancerSettings;

  private constructor(private readonly options: BalancerOptions) {
    this.settings = { ...defaultBalancerSettings, ...options.settings };
  }

  static create(options: BalancerOptions): Balancer {
    return new Balancer(options);
  }

  /**
   * Acquires a lease on an endpoint that is live, was not tried and is below its limit. An ejected
   * endpoint is used only if all others that might serve the request are ejected too.
   */
  acquire(request: RouteRequest, now: number): Result<Lease, NoEndpoint> {
    this.prune(now);
    const usable = request.candidates
      .filter(({ host, state }) => state === HostState.live && host.state === HostState.live)
      .filter(({ host }) => !request.tried?.includes(host.name));
    const withStats = usable.map((state) => ({ state, stats: this.statsOf(state, now) }));
    const notEjected = withStats.filter((candidate) => !candidate.stats.outlier.isEjected(now));
    const eligible = notEjected.length > 0 ? notEjected : withStats;
    const free = eligible.filter(
      (candidate) => candidate.stats.inFlight < this.limitOf(candidate.stats, now),
    );
    if (eligible.length === 0) {
      return err({ kind: 'none', message: 'no live endpoint is left to try' });
    }
    if (free.length === 0) {
      return err({ kind: 'busy', message: 'all endpoints are at their concurrency limits' });
    }
    return ok(this.createLease(this.choose(free, request, now), now));
  }

  /** Number of requests that the candidates could take now, for estimates. */
  freeCapacity(candidates: readonly EndpointState[], now: number): number {
    return candidates
      .filter(({ host, state }) => state === HostState.live && host.state === HostState.live)
      .map((state) => this.statsOf(state, now))
      .reduce((sum, stats) => sum + Math.max(0, this.limitOf(stats, now) - stats.inFlight), 0);
  }

  status(now: number): EndpointStatus[] {
    return [...this.statsByEndpoint.values()].map((stats) => ({
      endpoint: stats.name,
      inFlight: stats.inFlight,
      limit: this.limitOf(stats, now),
      ejectedUntil: stats.outlier.isEjected(now) ? stats.outlier.until : undefined,
    }));
  }

  private choose(
    free: readonly { state: EndpointState; stats: EndpointStats }[],
    request: RouteRequest,
    now: number,
  ): EndpointStats {
    const first = Math.floor(this.options.random.next() * free.length);
    const offset = 1 + Math.floor(this.options.random.next() * (free.length - 1));
    const second = (first + offset) % free.length;
    const sampled = first === second ? [free[first]] : [free[first], free[second]];
    const matches = new Map(
      free.map((candidate) => [candidate, this.prefixMatch(candidate.stats.name, request)]),
    );
    // Two random choices seldom include the endpoint that has the prefix cached.
    const cached = free.reduce((a, b) => ((matches.get(b) ?? 0) > (matches.get(a) ?? 0) ? b : a));
    if ((matches.get(cached) ?? 0) > 0 && !sampled.includes(cached)) sampled.push(cached);
    const cost = ({ state, stats }: (typeof free)[number], prefixMatch: number) =>
      stats.inFlight / this.limitOf(stats, now) +
      (this.settings.levelWeight * Math.min(state.level, maxLevel)) / maxLevel -
      this.settings.affinityWeight * prefixMatch;
    const best = sampled
      .map((candidate) => ({ candidate, cost: cost(candidate, matches.get(candidate) ?? 0) }))
      .reduce((a, b) => (b.cost < a.cost ? b : a));
    return best.candidate.stats;
  }

  private prefixMatch(endpoint: string, request: RouteRequest): number {
    const { item, prefixes } = request;
    if (item === undefined || prefixes === undefined || prefixes.length === 0) return 0;
    return this.options.prefixes?.match(endpoint, item, prefixes) ?? 0;
  }

  private createLease(stats: EndpointStats, now: number): Lease {
    const leased = stats;
    leased.inFlight += 1;
    leased.usedAt = now;
    const { pace, outlier } = leased;
    let observed = false;
    let released = false;
    return {
      endpoint: leased.name,
      observe: (latencyMs, at) => {
        if (observed || released) return;
        observed = true;
        const { inFlight, slots } = leased;
        pace.observe({ latencyMs, inFlight, slots }, at);
      },
      release: (result, at) => {
        if (released) return false;
        released = true;
        leased.inFlight -= 1;
        leased.usedAt = at;
        if (leased.outlier === outlier) this.recordOutcome(leased, result, now, at);
        this.options.onRelease?.(leased.name, at);
        return true;
      },
    };
  }

  private recordOutcome(
    stats: EndpointStats,
    result: LeaseOutcome,
    startedAt: number,
    now: number,
  ): void {
    if (result === 'succeeded') stats.outlier.succeeded(startedAt, now);
    // An endpoint that is overloaded even at its lowest limit cannot serve this daemon at all.
    const atLowest = stats.pace.current(stats.slots) <= this.settings.minLimit;
    if (result === 'overloaded') stats.pace.reduceForOverload(now);
    if (result !== 'failed' && !(result === 'overloaded' && atLowest)) return;
    if (!stats.outlier.failed(startedAt, now)) return;
    if (!this.mayEject(stats, now)) return;
    stats.outlier.eject(now);
    stats.pace.open(PaceCause.return, stats.pace.current(stats.slots), 0, now);
    this.options.onEject?.(stats.name, stats.outlier.until);
  }

  private mayEject(stats: EndpointStats, now: number): boolean {
    const pool = [...this.statsByEndpoint.values()].filter(({ pool: name }) => name === stats.pool);
    const ejected = pool.filter(({ outlier }) => outlier.isEjected(now)).length;
    return ejected + 1 <= pool.length * this.settings.maxEjectedShare;
  }

  private limitOf(stats: EndpointStats, now: number): number {
    if (stats.outlier.isEjected(now)) return 1;
    return stats.pace.current(stats.slots);
  }

  private createPace(slots: number): EndpointPace {
    const { initialLimit, initialSlotShare } = this.settings;
    const share = Math.floor(slots * initialSlotShare());
    return EndpointPace.create(this.settings, Math.max(initialLimit, share));
  }

  private statsOf(state: EndpointState, now: number): EndpointStats {
    const { host, bootId, slots } = state;
    let stats = this.statsByEndpoint.get(host.name);
    if (stats === undefined || stats.incarnation < host.incarnation) {
      if (stats !== undefined) this.options.prefixes?.forget(host.name);
      stats = {
        name: host.name,
        pool: host.pool,
        incarnation: host.incarnation,
        bootId,
        slots,
        inFlight: 0,
        usedAt: now,
        pace: this.createPace(slots),
        outlier: OutlierDetector.create(this.settings),
      };
      this.statsByEndpoint.set(host.name, stats);
    } else if (stats.bootId !== bootId && bootId !== '') {
      // A restarted process has neither the failures nor the cache of the previous one.
      stats.bootId = bootId;
      stats.pace = this.createPace(slots);
      stats.outlier = OutlierDetector.create(this.settings);
      this.options.prefixes?.forget(host.name);
    }
    stats.slots = slots;
    return stats;
  }

  private prune(now: number): void {
    const { idleMs } = this.settings;
    if (now - this.prunedAt < idleMs / 10) return;
    this.prunedAt = now;
    this.statsByEndpoint.forEach((stats, name) => {
      if (stats.inFlight === 0 && now - stats.usedAt > idleMs) {
        this.statsByEndpoint.delete(name);
        this.options.prefixes?.forget(name);
      }
    });
  }
}
