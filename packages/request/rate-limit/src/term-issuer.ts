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

  /** Begins a term; `isFirst` if nobody can have issued permits before it. */
  begin(number: number, isFirst: boolean, now: number): void {
    this.current = this.createTerm(number, isFirst, now);
  }

  /** Decides in a term; undefined while permits of an earlier one may be in use. */
  decide(
    term: number,
    candidates: readonly LimitedEndpoint[],
    maxWaitMs: number,
    now: number,
  ): PermitDecision | undefined {
    const known = this.current?.number === term ? this.current : undefined;
    this.current = known ?? this.createTerm(term, false, now);
    const { issuer, startsAt } = this.current;
    return now < startsAt ? undefined : issuer.acquire(candidates, maxWaitMs, now);
  }

  private createTerm(number: number, isFirst: boolean, now: number): Term {
    const startsAt = isFirst ? now : now + issuerStartMs(this.settings);
    return { number, issuer: PermitIssuer.create(this.settings), startsAt };
  }
}
