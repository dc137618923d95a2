import { type Clock, type DomainView, type EndpointState, HostState } from '@currantdrift/core';
import type { DrainMark } from '@currantdrift/placement';

/** Time for which a wake-up's word stands without the watcher's, in ms; polls take up to 1 s. */
const noticeMs = 3_000;

/**
 * The domain's view for routing. Replicas that a wake-up has just given are added: a watcher's
 * report follows up to a poll period later, and a waiting request need not wait for it. Replicas
 * that the controller drains are left out.
 */
export class RoutableView implements DomainView {
  /** Draining replicas as `endpoint item`. */
  private draining: ReadonlySet<string> = new Set();

  /** Time at which a notice ends, by item and endpoint. */
  private readonly notices = new Map<string, Map<string, number>>();

  private constructor(
    private readonly view: DomainView,
    private readonly clock: Clock,
  ) {}

  static create(view: DomainView, clock: Clock): RoutableView {
    return new RoutableView(view, clock);
  }

  /** Notes that `endpoint` holds the item. */
  note(item: string, endpoint: string, now: number): void {
    const noted = this.notices.get(item) ?? new Map<string, number>();
    noted.set(endpoint, now + noticeMs);
    this.notices.set(item, noted);
  }

  /** Replaces the replicas that get no new requests. */
  setDraining(marks: readonly DrainMark[]): void {
    this.draining = new Set(marks.map(({ engine, item }) => `${engine} ${item}`));
    marks.forEach(({ engine, item }) => this.notices.get(item)?.delete(engine));
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
    const noted = this.notices.get(item);
    if (noted === undefined) return known;
    const now = this.clock.now();
    [...noted].filter(([, end]) => end <= now).forEach(([endpoint]) => noted.delete(endpoint));
    if (noted.size === 0) this.notices.delete(item);
    const fresh = [...noted.keys()]
      .filter((endpoint) => !known.some(({ host }) => host.name === endpoint))
      .flatMap((endpoint) => this.view.endpoint(endpoint) ?? [])
      .filter(({ state }) => state === HostState.live);
    return [...known, ...fresh];
  }
}
