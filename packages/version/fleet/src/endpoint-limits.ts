/** Maximum number of endpoints whose limits are remembered. */
const maxFacts = 10_000;

/** Time without an entry after which an endpoint's limit is forgotten, in ms; entries may lapse. */
const missingLifetimeMs = 60_000;

/** Time for which the end of a limit is reported to other members, in ms. */
const endedLimitLifetimeMs = 10_000;

/** One instance of an endpoint. */
export interface EndpointInstance {
  readonly id: string;
  /** Start time of the process in ms since the epoch. */
  readonly bornAt: number;
}

/** What a member knows about an endpoint's request limit, as sent to other members. */
export interface LimitReport {
  readonly endpoint: string;
  readonly bornAt: number;
  /** Requests per second that the endpoint takes from all members together; null if it has no limit. */
  readonly ratePerS: number | null;
  /** Time since an answer of the endpoint stated this, in ms. */
  readonly ageMs: number;
}

interface LimitFact {
  readonly bornAt: number;
  readonly ratePerS: number | undefined;
  readonly learntAt: number;
}

/**
 * The request limits that endpoints state in their answers. Answers may overtake each other, so an
 * answer replaces a statement only if its request was sent after that statement had arrived.
 */
export class EndpointLimits {
  private readonly facts = new Map<string, LimitFact>();

  /** Time since which each endpoint with a limit has had no entry. */
  private readonly missingSince = new Map<string, number>();

  /** Endpoints of which this member knows something that the others may not know. */
  private readonly unreported = new Set<string>();

  private constructor(private readonly onChange: () => void) {}

  /** `onChange` is called after a limit was stated, changed or ended. */
  static create(onChange: () => void): EndpointLimits {
    return new EndpointLimits(onChange);
  }

  /** Requests per second that the endpoint takes from all members; undefined if it has no limit. */
  rate({ id, bornAt }: EndpointInstance): number | undefined {
    const fact = this.facts.get(id);
    return fact?.bornAt === bornAt ? fact.ratePerS : undefined;
  }

  /**
   * Records what an answer states: a limit, or undefined for none. The answer belongs to a request that
   * was sent at `sentAt`. Returns whether the limit of the endpoint has changed.
   */
  observe(
    endpoint: EndpointInstance,
    ratePerS: number | undefined,
    sentAt: number,
    now: number,
  ): boolean {
    const known = this.factOf(endpoint);
    if (known === undefined && ratePerS === undefined) return false;
    const isConcurrent = known !== undefined && sentAt < known.learntAt;
    if (isConcurrent && !EndpointLimits.isLower(ratePerS, known.ratePerS)) return false;
    const isChanged = this.set(endpoint, ratePerS, now);
    if (isChanged) this.unreported.add(endpoint.id);
    return isChanged;
  }

  /**
   * Applies what another member reported, unless something newer is known. Returns the reports that
   * changed a limit.
   */
  merge(reports: readonly LimitReport[], now: number): LimitReport[] {
    return reports.filter(({ endpoint: id, bornAt, ratePerS, ageMs }) => {
      const known = this.factOf({ id, bornAt });
      const learntAt = now - Math.max(0, ageMs);
      if (known !== undefined && learntAt <= known.learntAt) {
        if (known.ratePerS !== (ratePerS ?? undefined)) this.unreported.add(id);
        return false;
      }
      return this.set({ id, bornAt }, ratePerS ?? undefined, learntAt);
    });
  }

  /** Returns the limits in force and those that have ended recently. */
  reports(now: number): LimitReport[] {
    return [...this.facts]
      .filter(
        ([, { ratePerS, learntAt }]) =>
          ratePerS !== undefined || now - learntAt < endedLimitLifetimeMs,
      )
      .map(([endpoint, fact]) => EndpointLimits.toReport(endpoint, fact, now));
  }

  /** Returns what was learnt from answers since the last call, or what a member's report missed. */
  takeUnreported(now: number): LimitReport[] {
    const ids = [...this.unreported];
    this.unreported.clear();
    return ids.flatMap((id) => {
      const fact = this.facts.get(id);
      return fact === undefined ? [] : [EndpointLimits.toReport(id, fact, now)];
    });
  }

  private static toReport(
    endpoint: string,
    { bornAt, ratePerS, learntAt }: LimitFact,
    now: number,
  ): LimitReport {
    return { endpoint, bornAt, ratePerS: ratePerS ?? null, ageMs: now - learntAt };
  }

  /** Forgets endpoints that have not been among `present` for `missingLifetimeMs`. */
  retain(present: ReadonlySet<string>, now: number): void {
    [...this.facts.keys()].forEach((id) => {
      if (present.has(id)) {
        this.missingSince.delete(id);
        return;
      }
      const since = this.missingSince.get(id) ?? now;
      this.missingSince.set(id, since);
      if (now - since < missingLifetimeMs) return;
      this.facts.delete(id);
      this.missingSince.delete(id);
    });
  }

  /** What is known of this instance or, if that is newer, of a later one. */
  private factOf({ id, bornAt }: EndpointInstance): LimitFact | undefined {
    const fact = this.facts.get(id);
    return fact !== undefined && fact.bornAt >= bornAt ? fact : undefined;
  }

  private static isLower(rate: number | undefined, known: number | undefined): boolean {
    return rate !== undefined && known !== undefined && rate < known;
  }

  private set(
    { id, bornAt }: EndpointInstance,
    ratePerS: number | undefined,
    learntAt: number,
  ): boolean {
    const before = this.facts.get(id);
    if (before !== undefined && before.bornAt > bornAt) return false;
    const isChanged = (before?.bornAt === bornAt ? before.ratePerS : undefined) !== ratePerS;
    this.facts.delete(id);
    this.facts.set(id, { bornAt, ratePerS, learntAt });
    if (this.facts.size > maxFacts) this.facts.delete([...this.facts.keys()][0]);
    if (isChanged) this.onChange();
    return isChanged;
  }
}
