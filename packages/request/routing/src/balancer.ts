import { type EndpointState, HostState, type Random } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import type { Lease, NoEndpoint, Release } from './lease';
import { ConcurrencyLimit } from './concurrency-limit';
import { Outlier } from './outlier-detector';
import type { PrefixIndex } from './prefix-index';
import { type BalancerSettings, defaultBalancerSettings } from './settings';

/** Level, in eighths, at which an endpoint has as much waiting as running. */
const fullLevel = 16;

/** What is to be routed. */
export interface RouteRequest {
  /** Endpoints that can serve it, as the domain's view gives them. */
  readonly candidates: readonly EndpointState[];
  /** Names of endpoints that were tried for this request. */
  readonly tried?: readonly string[];
  /** Item key and prompt prefix hashes, shortest first, for the prefix bonus. */
  readonly item?: string;
  readonly prefixes?: readonly string[];
}

export interface BalancerOptions {
  readonly random: Random;
  readonly prefixes?: PrefixIndex;
  /** Called after a lease was released: waiting requests may now find capacity. */
  readonly onRelease?: (endpoint: string, now: number) => void;
  /** Called after an endpoint was ejected until `until` (ms since the epoch). */
  readonly onEject?: (endpoint: string, until: number) => void;
  readonly settings?: Partial<BalancerSettings>;
}

/** Numbers of an endpoint for metrics and operators. */
export interface EndpointStatus {
  readonly endpoint: string;
  readonly inFlight: number;
  readonly limit: number;
  readonly ejectedUntil: number | undefined;
}

/** What this daemon knows of an endpoint from its own requests. */
interface Known {
  readonly name: string;
  readonly pool: string;
  readonly incarnation: number;
  bootId: string;
  slots: number;
  inFlight: number;
  usedAt: number;
  limit: ConcurrencyLimit;
  outlier: Outlier;
}

/** Chooses among warm replicas and keeps the limits of endpoints. */
export class Balancer {
  private readonly known = new Map<string, Known>();

  private prunedAt = 0;

  private readonly settings: BalancerSettings;

  private constructor(private readonly options: BalancerOptions) {
    this.settings = { ...defaultBalancerSettings, ...options.settings };
  }

  static create(options: BalancerOptions): Balancer {
    return new Balancer(options);
  }

  /**
   * Takes a place at an endpoint. Never one that is leaving, was tried or is at its limit; an
   * ejected one only if all others that might serve the request are ejected as well.
   */
  acquire(request: RouteRequest, now: number): Result<Lease, NoEndpoint> {
    this.prune(now);
    const usable = request.candidates
      .filter(({ host, state }) => state === HostState.live && host.state === HostState.live)
      .filter(({ host }) => !request.tried?.includes(host.name));
    const known = usable.map((state) => ({ state, known: this.know(state, now) }));
    const inService = known.filter((candidate) => !candidate.known.outlier.isEjected(now));
    const considered = inService.length > 0 ? inService : known;
    const free = considered.filter(
      (candidate) => candidate.known.inFlight < this.limitOf(candidate.known, now),
    );
    if (considered.length === 0) {
      return err({ kind: 'none', message: 'no live endpoint is left to try' });
    }
    if (free.length === 0) {
      return err({ kind: 'busy', message: 'all endpoints are at their concurrency limits' });
    }
    return ok(this.lend(this.pick(free, request, now), now));
  }

  /** Places free now over the candidates, for estimates. */
  free(candidates: readonly EndpointState[], now: number): number {
    return candidates
      .filter(({ host, state }) => state === HostState.live && host.state === HostState.live)
      .map((state) => this.know(state, now))
      .reduce((sum, known) => sum + Math.max(0, this.limitOf(known, now) - known.inFlight), 0);
  }

  status(now: number): EndpointStatus[] {
    return [...this.known.values()].map((known) => ({
      endpoint: known.name,
      inFlight: known.inFlight,
      limit: this.limitOf(known, now),
      ejectedUntil: known.outlier.isEjected(now) ? known.outlier.until : undefined,
    }));
  }

  private pick(
    free: readonly { state: EndpointState; known: Known }[],
    request: RouteRequest,
    now: number,
  ): Known {
    const first = Math.floor(this.options.random.next() * free.length);
    const offset = 1 + Math.floor(this.options.random.next() * (free.length - 1));
    const second = (first + offset) % free.length;
    const drawn = first === second ? [free[first]] : [free[first], free[second]];
    const matches = new Map(free.map((one) => [one, this.match(one.known.name, request)]));
    // Two random choices seldom include the one endpoint that holds the prefix.
    const holder = free.reduce((a, b) => ((matches.get(b) ?? 0) > (matches.get(a) ?? 0) ? b : a));
    if ((matches.get(holder) ?? 0) > 0 && !drawn.includes(holder)) drawn.push(holder);
    const cost = ({ state, known }: (typeof free)[number], match: number) =>
      known.inFlight / this.limitOf(known, now) +
      (this.settings.levelWeight * Math.min(state.level, fullLevel)) / fullLevel -
      this.settings.affinityWeight * match;
    const best = drawn
      .map((one) => ({ one, cost: cost(one, matches.get(one) ?? 0) }))
      .reduce((a, b) => (b.cost < a.cost ? b : a));
    return best.one.known;
  }

  private match(endpoint: string, request: RouteRequest): number {
    const { item, prefixes } = request;
    if (item === undefined || prefixes === undefined || prefixes.length === 0) return 0;
    return this.options.prefixes?.match(endpoint, item, prefixes) ?? 0;
  }

  private lend(known: Known, now: number): Lease {
    const one = known;
    one.inFlight += 1;
    one.usedAt = now;
    const { limit, outlier } = one;
    let observed = false;
    let released = false;
    return {
      endpoint: one.name,
      observe: (latencyMs, at) => {
        if (observed || released) return;
        observed = true;
        limit.observe(latencyMs, one.inFlight, one.slots, at);
      },
      release: (result, at) => {
        if (released) return false;
        released = true;
        one.inFlight -= 1;
        one.usedAt = at;
        if (one.outlier === outlier) this.account(one, result, now, at);
        this.options.onRelease?.(one.name, at);
        return true;
      },
    };
  }

  private account(known: Known, result: Release, startedAt: number, now: number): void {
    if (result === 'succeeded') known.outlier.succeeded(startedAt, now);
    // What is too slow or too full even at its lowest limit does not serve this daemon at all.
    const atLowest = known.limit.current(known.slots) <= this.settings.minLimit;
    if (result === 'overloaded') known.limit.overloaded(now);
    if (result !== 'failed' && !(result === 'overloaded' && atLowest)) return;
    if (!known.outlier.failed(startedAt, now)) return;
    if (!this.mayEject(known, now)) return;
    known.outlier.eject(now);
    this.options.onEject?.(known.name, known.outlier.until);
  }

  private mayEject(known: Known, now: number): boolean {
    const pool = [...this.known.values()].filter(({ pool: name }) => name === known.pool);
    const ejected = pool.filter(({ outlier }) => outlier.isEjected(now)).length;
    return ejected + 1 <= pool.length * this.settings.maxEjectedShare;
  }

  private limitOf(known: Known, now: number): number {
    if (known.outlier.isEjected(now)) return 1;
    const limit = known.limit.current(known.slots);
    return Math.max(1, Math.floor(limit * known.outlier.ramp(now)));
  }

  private know(state: EndpointState, now: number): Known {
    const { host, bootId, slots } = state;
    let known = this.known.get(host.name);
    if (known === undefined || known.incarnation < host.incarnation) {
      if (known !== undefined) this.options.prefixes?.forget(host.name);
      known = {
        name: host.name,
        pool: host.pool,
        incarnation: host.incarnation,
        bootId,
        slots,
        inFlight: 0,
        usedAt: now,
        limit: ConcurrencyLimit.create(this.settings, slots),
        outlier: Outlier.create(this.settings),
      };
      this.known.set(host.name, known);
    } else if (known.bootId !== bootId && bootId !== '') {
      // A restarted process has neither the faults nor the cache of the old one.
      known.bootId = bootId;
      known.limit = ConcurrencyLimit.create(this.settings, slots);
      known.outlier = Outlier.create(this.settings);
      this.options.prefixes?.forget(host.name);
    }
    known.slots = slots;
    return known;
  }

  private prune(now: number): void {
    const { idleMs } = this.settings;
    if (now - this.prunedAt < idleMs / 10) return;
    this.prunedAt = now;
    this.known.forEach((known, name) => {
      if (known.inFlight === 0 && now - known.usedAt > idleMs) {
        this.known.delete(name);
        this.options.prefixes?.forget(name);
      }
    });
  }
}
