import { type Quota, QuotaUnit } from '@currantdrift/routes';

/** By how much all members together may exceed a quota. */
export interface QuotaBounds {
  /** Length of the windows in which use is measured, in ms. */
  readonly windowMs: number;
  /** Share of a quota by which the use in a window may exceed it. */
  readonly excess: number;
  /** Tokens by which the use in a window may exceed that; not applied to quotas of requests. */
  readonly slack: number;
}

/** Rate and capacity of a token bucket. */
export interface BucketLimits {
  readonly ratePerS: number;
  readonly capacity: number;
}

/** What members may do on their own for one customer. */
export interface QuotaAllowances {
  readonly owner: BucketLimits;
  readonly standIn: BucketLimits;
  /** Tokens that members may hold together for their next requests. */
  readonly maxAhead: number;
}

/** Time for which a decision of another member is awaited and may be used, in ms. */
export const decisionTimeoutMs = 300;

/** Upper bound of the owner's part of the rate. */
const maxOwnerShare = 0.95;

/** Parts of the reserve, which `allowancesOf` explains. Each stand-in gets `standIn`. */
const reserveShares = { burst: 0.5, ahead: 0.1, standIn: 0.2 } as const;

/** Part of a stand-in's tokens that it may grant at once; the rest is spread over the window. */
const standInBurstShare = 0.6;

const msPerSecond = 1_000;

/** Limits of a bucket that grants at most `total` in any interval of `intervalS`. */
const spread = (total: number, burstShare: number, intervalS: number): BucketLimits => ({
  ratePerS: (total * (1 - burstShare)) / intervalS,
  capacity: total * burstShare,
});

/**
 * Derives the allowances from a quota of rate r and burst b, so that in any window of w seconds at most
 * (r w + b) (1 + excess) + slack are used. Tokens used in a window were granted up to T =
 * `decisionTimeoutMs` before it, so with the owner's rate a r the use is at most the sum of:
 *
 * - the owner's rate, a r (w + T), and its burst, b plus the reserve's share `burst`;
 * - `ahead`: tokens that members held when the window began;
 * - twice `standIn`: one member ranked second, and one owner whose list of the members is out of date.
 *
 * The reserve E = (1 + excess) (r w + b) + slack - a r (w + T) - b is what the owner's own part leaves, and
 * its shares add up to 1. The bound on a makes it non-negative. A request that costs more than the
 * capacity of the owner's bucket is granted from a full one, and exceeds the sum by the difference.
 * Tokens that are given back add nothing, see `QuotaBucket.refund`.
 */
export const allowancesOf = (quota: Quota, bounds: QuotaBounds): QuotaAllowances => {
  const { ratePerS, burst, unit } = quota;
  const windowS = bounds.windowMs / msPerSecond;
  const spanS = windowS + decisionTimeoutMs / msPerSecond;
  const slack = unit === QuotaUnit.tokens ? bounds.slack : 0;
  const ownerShare = Math.min(maxOwnerShare, ((1 + bounds.excess) * windowS) / spanS);
  const ownerRate = ownerShare * ratePerS;
  const allowed = (1 + bounds.excess) * (ratePerS * windowS + burst) + slack;
  const reserve = Math.max(0, allowed - ownerRate * spanS - burst);
  return {
    owner: { ratePerS: ownerRate, capacity: burst + reserve * reserveShares.burst },
    standIn: spread(reserve * reserveShares.standIn, standInBurstShare, spanS),
    maxAhead: reserve * reserveShares.ahead,
  };
};
