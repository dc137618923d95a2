import { type Clock, type DomainView, type EndpointState, HostState } from '@currantdrift/core';

/** Time for which a wake-up's word stands without the watcher's, in ms; polls take up to 1 s. */
const noticeMs = 3_000;

/**
 * The domain's view with the replicas that wake-ups have just given. A watcher's report follows
 * up to a poll period later, and a waiting request need not wait for it.
 */
export class ReadyView implements DomainView {
  /** Time at which a notice ends, by item and endpoint. */
  private readonly notices = new Map<string, Map<string, number>>();

  private constructor(
    private readonly view: DomainView,
    private readonly clock: Clock,
  ) {}

  static create(view: DomainView, clock: Clock): ReadyView {
    return new ReadyView(view, clock);
  }

  /** Notes that `endpoint` holds the item. */
  note(item: string, endpoint: string, now: number): void {
    const noted = this.notices.get(item) ?? new Map<string, number>();
    noted.set(endpoint, now + noticeMs);
    this.notices.set(item, noted);
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
    const known = this.view.replicas(item);
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
