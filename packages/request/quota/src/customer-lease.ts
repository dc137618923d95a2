import type { Clock } from '@currantdrift/core';
import type { Quota } from '@currantdrift/routes';
import { err, ok, type Result } from 'neverthrow';
import { decisionTimeoutMs } from './allowances';
import { leaseMs } from './customer-account';
import { ExpectedCost } from './expected-cost';
import { maxCostsPerQuestion, type QuotaDecision } from './messages';
import { QuotaRole } from './quota-roles';
import type { QuotaIssuer } from './quota-issuer';
import type { QuotaGrant, QuotaRefusal } from './request-quotas';

/** Time for which an owner that did not respond is not asked again, in ms. */
const silencePauseMs = 1_000;

export interface LeaseOptions {
  readonly clock: Clock;
  readonly issuer: QuotaIssuer;
  /** Time since `since`, in ms, with times in which the process or its host did not run. */
  readonly ageMs: (since: number, now: number) => number;
}

type Outcome = Result<QuotaGrant, QuotaRefusal>;

interface Waiting {
  readonly cost: number;
  readonly resolve: (outcome: Outcome) => void;
  readonly reject: (error: unknown) => void;
}

/** Tokens that were granted for requests to come. */
interface Lease {
  left: number;
  readonly ratePerS: number;
  /** Time of the question, which precedes the grant. */
  readonly askedAt: number;
}

interface Decided {
  readonly decision: QuotaDecision;
  readonly issuer: string;
  readonly askedAt: number;
}

/**
 * One customer's tokens at a member. Requests that cannot be served from the lease wait for one question
 * at a time, which covers all that have arrived meanwhile.
 */
export class CustomerLease {
  private readonly demand = ExpectedCost.create();

  private readonly waiting: Waiting[] = [];

  private isAsking = false;

  private lease: Lease | undefined;

  private silentUntil = -Infinity;

  private constructor(
    private readonly customer: string,
    private readonly options: LeaseOptions,
  ) {}

  static create(customer: string, options: LeaseOptions): CustomerLease {
    return new CustomerLease(customer, options);
  }

  async take(quota: Quota, cost: number): Promise<Outcome> {
    const now = this.options.clock.now();
    this.demand.record(cost, now);
    const lease = this.usableLease(quota, now);
    if (lease !== undefined && lease.left >= cost) return ok(this.takeFrom(lease, cost));
    return new Promise((resolve, reject) => {
      this.waiting.push({ cost, resolve, reject });
      if (!this.isAsking) this.askForWaiting(quota).catch(reject);
    });
  }

  private async askForWaiting(quota: Quota): Promise<void> {
    this.isAsking = true;
    while (this.waiting.length > 0) {
      const batch = this.waiting.splice(0, maxCostsPerQuestion);
      try {
        const outcomes = await this.askFor(batch, quota);
        batch.forEach(({ resolve }, index) => resolve(outcomes[index]));
      } catch (error) {
        batch.forEach(({ reject }) => reject(error));
      }
    }
    this.isAsking = false;
  }

  private async askFor(batch: readonly Waiting[], quota: Quota): Promise<readonly Outcome[]> {
    const costs = batch.map(({ cost }) => cost);
    const decided = (await this.askOwner(costs, quota)) ?? (await this.askStandIn(costs));
    return costs.map((cost, index) =>
      decided === undefined ? this.unreachable() : this.outcomeOf(decided, cost, index),
    );
  }

  private async askOwner(costs: number[], quota: Quota): Promise<Decided | undefined> {
    const now = this.options.clock.now();
    if (now < this.silentUntil) return undefined;
    const unused = this.usableLease(quota, now)?.left ?? 0;
    // The owner may take these tokens back even if its response is lost.
    this.lease = undefined;
    const decided = await this.ask({ costs, unused, ahead: this.demand.expected(now) }, 0);
    if (decided !== undefined && decided.decision.ahead > 0) {
      const { decision, askedAt } = decided;
      this.lease = { left: decision.ahead, ratePerS: quota.ratePerS, askedAt };
    }
    return decided;
  }

  private askStandIn(costs: number[]): Promise<Decided | undefined> {
    return this.ask({ costs, unused: 0, ahead: 0 }, 1);
  }

  private async ask(
    question: { costs: number[]; unused: number; ahead: number },
    rank: number,
  ): Promise<Decided | undefined> {
    const { clock, issuer, ageMs } = this.options;
    const askedAt = clock.now();
    const answer = await issuer.ask(this.customer, question, rank);
    const now = clock.now();
    const isLate = ageMs(askedAt, now) > decisionTimeoutMs;
    if (answer === 'silent' || isLate) {
      if (rank === 0) this.silentUntil = now + silencePauseMs;
      return undefined;
    }
    return answer === 'elsewhere' ? undefined : { ...answer, askedAt };
  }

  private outcomeOf({ decision, issuer }: Decided, tokens: number, index: number): Outcome {
    const { grant, role, waitsMs } = decision;
    const waitMs = waitsMs[index];
    if (waitMs !== 0) {
      // A stand-in cannot tell whether the customer has exceeded its quota.
      const kind = role === QuotaRole.owner ? 'exceeded' : 'unreachable';
      const leaseAgeMs = this.leaseAgeMs();
      return err({ kind, retryAfterMs: waitMs ?? undefined, role, leaseAgeMs });
    }
    const refund = () => this.options.issuer.giveBack(this.customer, { grant, tokens }, issuer);
    return ok({ customer: this.customer, tokens, refund });
  }

  private unreachable(): Outcome {
    const leaseAgeMs = this.leaseAgeMs();
    return err({ kind: 'unreachable', retryAfterMs: undefined, role: undefined, leaseAgeMs });
  }

  private takeFrom(lease: Lease, tokens: number): QuotaGrant {
    const taken = lease;
    taken.left -= tokens;
    const refund = () => {
      if (this.lease === taken) taken.left += tokens;
    };
    return { customer: this.customer, tokens, refund };
  }

  /** The lease, unless it has expired or was granted under another quota. */
  private usableLease({ ratePerS }: Quota, now: number): Lease | undefined {
    const { lease } = this;
    if (lease === undefined || lease.ratePerS !== ratePerS) return undefined;
    return this.options.ageMs(lease.askedAt, now) < leaseMs ? lease : undefined;
  }

  private leaseAgeMs(): number | undefined {
    const { clock, ageMs } = this.options;
    return this.lease && ageMs(this.lease.askedAt, clock.now());
  }
}
