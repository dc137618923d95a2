import type { Clock, Random } from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { MemberShare } from './member-share';
import type { LimitedEndpoint, PermitDecision, PermitRefusal } from './permit';
import { PermitSource, type RequestPermit, type RequestPermits } from './request-permits';
import { permitLifetimeMs, type RateLimitSettings } from './settings';

/** Time for which an issuer that could not be reached is not asked again, in ms. */
const silencePauseMs = 1_000;

/** Age of an issuer's answer up to which it is used, in ms; the process may have been suspended. */
const maxAnswerAgeMs = 1_000;

/** Time after which to ask again if the answer came too late, in ms. */
const lateAnswerRetryMs = 200;

/** The issuer of permits, in this process or at another member. */
export interface IssuerClient {
  /** Resolves with undefined if there is no issuer or it does not answer. */
  ask(
    candidates: readonly LimitedEndpoint[],
    maxWaitMs: number,
  ): Promise<PermitDecision | undefined>;
}

export interface MemberPermitsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly settings: RateLimitSettings;
  readonly issuer: IssuerClient;
  /** Number of members that share the limits. */
  readonly members: () => number;
}

/** Gets permits from the issuer and, while it cannot be reached, from the member's own share. */
export class MemberPermits implements RequestPermits {
  private readonly share: MemberShare;

  private silentUntil = -Infinity;

  private constructor(private readonly options: MemberPermitsOptions) {
    this.share = MemberShare.create(options.settings, options.random);
  }

  static create(options: MemberPermitsOptions): MemberPermits {
    return new MemberPermits(options);
  }

  async acquire(
    candidates: readonly LimitedEndpoint[],
    maxWaitMs: number,
  ): Promise<Result<RequestPermit, PermitRefusal>> {
    const { clock, issuer, members } = this.options;
    const askedAt = clock.now();
    const answer = askedAt < this.silentUntil ? undefined : await issuer.ask(candidates, maxWaitMs);
    const now = clock.now();
    if (answer !== undefined) {
      if (now - askedAt > maxAnswerAgeMs) {
        return err({ kind: 'refused', retryAfterMs: lateAnswerRetryMs });
      }
      return MemberPermits.toPermit(answer, PermitSource.issuer, now);
    }
    if (askedAt >= this.silentUntil) this.silentUntil = now + silencePauseMs;
    const decision = this.share.acquire(candidates, members(), maxWaitMs, now);
    return MemberPermits.toPermit(decision, PermitSource.share, now);
  }

  private static toPermit(
    decision: PermitDecision,
    source: PermitSource,
    now: number,
  ): Result<RequestPermit, PermitRefusal> {
    if (decision.kind === 'refused') return err(decision);
    const usableAt = now + decision.waitMs;
    return ok({
      endpoint: decision.endpoint,
      usableAt,
      source,
      expiresAt: usableAt + permitLifetimeMs,
    });
  }
}
