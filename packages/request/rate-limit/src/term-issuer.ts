import type { LimitedEndpoint, PermitDecision } from './permit';
import { PermitIssuer } from './permit-issuer';
import { issuerStartMs, type RateLimitSettings } from './settings';

interface Term {
  readonly number: number;
  readonly issuer: PermitIssuer;
  /** Time at which the permits of the predecessor have expired. */
  readonly startsAt: number;
}

/** Issues permits for one term after the other; each begins when those of the last have expired. */
export class TermIssuer {
  private current: Term | undefined;

  private constructor(private readonly settings: RateLimitSettings) {}

  static create(settings: RateLimitSettings): TermIssuer {
    return new TermIssuer(settings);
  }

  /** Begins a term before which nobody can have issued permits. */
  beginFirst(term: number, now: number): void {
    this.begin(term, now);
  }

  /** Decides in a term; undefined while permits of an earlier one may be in use. */
  decide(
    term: number,
    candidates: readonly LimitedEndpoint[],
    maxWaitMs: number,
    now: number,
  ): PermitDecision | undefined {
    const { issuer, startsAt } =
      this.current?.number === term
        ? this.current
        : this.begin(term, now + issuerStartMs(this.settings));
    return now < startsAt ? undefined : issuer.acquire(candidates, maxWaitMs, now);
  }

  private begin(number: number, startsAt: number): Term {
    this.current = { number, issuer: PermitIssuer.create(this.settings), startsAt };
    return this.current;
  }
}
