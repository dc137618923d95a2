/** A process behind an endpoint's id. */
export interface EndpointStart {
  readonly id: string;
  /** Start time of the process in ms since the epoch, by the clock of its host; 0 if unknown. */
  readonly bornAt: number;
  /** Requests that it runs at once. */
  readonly slots: number;
}

/** Time after the first observation in which the endpoints known so far may still be incomplete, in ms. */
const gatheringMs = 5_000;

/** Maximum number of endpoints that are remembered. */
const maxEndpoints = 10_000;

/**
 * Tells endpoints that started while this process was watching from those that it has only learned of.
 * Start times are compared among endpoints, so the clock of this process does not matter.
 */
export class KnownStarts {
  /** Start time by id. */
  private readonly starts = new Map<string, number>();

  private firstObservedAt: number | undefined;

  /** Latest start among the endpoints that were running when this process began to watch. */
  private latestInitial = -Infinity;

  private constructor() {}

  static create(): KnownStarts {
    return new KnownStarts();
  }

  /** Records the endpoints known now; returns those that started while this process was watching. */
  observe(endpoints: readonly EndpointStart[], now: number): readonly EndpointStart[] {
    if (endpoints.length > 0) this.firstObservedAt ??= now;
    return endpoints.filter((endpoint) => this.record(endpoint, now));
  }

  /** Records an endpoint that a request may use; whether it started while this process was watching. */
  observeCandidate(candidate: Pick<EndpointStart, 'id' | 'bornAt'>, now: number): boolean {
    return this.firstObservedAt !== undefined && this.record(candidate, now);
  }

  private record({ id, bornAt }: Pick<EndpointStart, 'id' | 'bornAt'>, now: number): boolean {
    const before = this.starts.get(id);
    if (before === bornAt) return false;
    this.starts.set(id, bornAt);
    if (this.starts.size > maxEndpoints) this.starts.delete([...this.starts.keys()][0]);
    // Without a start time, a restart cannot be told from an endpoint that was cut off.
    if (bornAt === 0) return false;
    if (before !== undefined && before !== 0) return bornAt > before;
    if (this.isGathering(now)) this.latestInitial = Math.max(this.latestInitial, bornAt);
    return !this.isGathering(now) && bornAt > this.latestInitial;
  }

  private isGathering(now: number): boolean {
    return this.firstObservedAt === undefined || now - this.firstObservedAt < gatheringMs;
  }
}
