import { type Clock, type DomainView, type EndpointState, HostState } from '@currantdrift/core';
import type { DrainMark } from '@currantdrift/placement';

/**
 * Time for which a replica reported by a wake-up is used before a watcher confirms it, in ms.
 * Watchers poll at intervals of up to 1 s.
 */
const readyNoticeTtlMs = 3_000;

/**
 * View of the domain for routing. Adds replicas that a wake-up has just made ready, because the
 * watcher reports them up to a poll period later and waiting requests should not be delayed until
 * then. Leaves out replicas that the controller drains.
 */
export class RoutableView implements DomainView {
  /** Draining replicas in the form `endpoint item`. */
  private draining: ReadonlySet<string> = new Set();

  /** Expiry times of ready notices, by item and endpoint. */
  private readonly readyNotices = new Map<string, Map<string, number>>();

  private constructor(
    private readonly view: DomainView,
    private readonly clock: Clock,
  ) {}

  static create(view: DomainView, clock: Clock): RoutableView {
    return new RoutableView(view, clock);
  }

  /** Records that a wake-up has loaded the item at `endpoint`. */
  recordReady(item: string, endpoint: string, now: number): void {
    const noted = this.readyNotices.get(item) ?? new Map<string, number>();
    noted.set(endpoint, now + readyNoticeTtlMs);
    this.readyNotices.set(item, noted);
  }

  /** Replaces the set of draining replicas, which get no new requests. */
  setDraining(marks: readonly DrainMark[]): void {
    this.draining = new Set(marks.map(({ engine, item }) => `${engine} ${item}`));
    marks.forEach(({ engine, item }) => this.readyNotices.get(item)?.delete(engine));
  }

  endpoint(id: string): EndpointState | undefined {
    return this.view.endpoint(id);
  }

  endpoints(): readonly EndpointState[] {
    return this.view.endpoints();
  }

  pool(name: string): readonly EndpointState[] {
    return this.view.pool(name);
  }

  replicas(item: string): readonly EndpointState[] {
    const known = this.view
      .replicas(item)
      .filter(({ host }) => !this.draining.has(`${host.name} ${item}`));
    const noted = this.readyNotices.get(item);
    if (noted === undefined) return known;
    const now = this.clock.now();
    [...noted].filter(([, end]) => end <= now).forEach(([endpoint]) => noted.delete(endpoint));
    if (noted.size === 0) this.readyNotices.delete(item);
    const fresh = [...noted.keys()]
      .filter((endpoint) => !known.some(({ host }) => host.name === endpoint))
      .flatMap((endpoint) => this.view.endpoint(endpoint) ?? [])
      .filter(({ state }) => state === HostState.live);
    return [...known, ...fresh];
  }
}
