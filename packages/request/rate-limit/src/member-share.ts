import type { Random } from '@currantdrift/core';
import { CallSchedules, intervalMs } from './call-schedule';
import type { LimitedEndpoint, PermitDecision } from './permit';
import type { RateLimitSettings } from './settings';

/**
 * This member's own part of the limits, for the time in which it cannot reach the issuer. The first
 * call waits for a random part of the interval: otherwise all members that lose the issuer at the same
 * moment would call at the same moment.
 */
export class MemberShare {
  private readonly schedules = CallSchedules.create();

  private constructor(
    private readonly settings: RateLimitSettings,
    private readonly random: Random,
  ) {}

  static create(settings: RateLimitSettings, random: Random): MemberShare {
    return new MemberShare(settings, random);
  }

  /** Reserves a call at the candidate that is free first, of at least one; `members` share the limits. */
  acquire(
    candidates: readonly LimitedEndpoint[],
    members: number,
    maxWaitMs: number,
    now: number,
  ): PermitDecision {
    const slots = candidates.map((candidate) => this.slotOf(candidate, members, now));
    const slot = slots.reduce((best, other) => (other.at < best.at ? other : best));
    const waitMs = Math.max(0, slot.at - now);
    const isGranted = waitMs <= Math.min(maxWaitMs, this.settings.maxReservationMs);
    const nextAt = isGranted ? slot.at + slot.interval : slot.at;
    this.schedules.set(slot.candidate, nextAt, slot.interval, now);
    return isGranted
      ? { kind: 'granted', endpoint: slot.candidate.endpoint, waitMs }
      : { kind: 'refused', retryAfterMs: waitMs };
  }

  private slotOf(candidate: LimitedEndpoint, members: number, now: number) {
    const { memberShare, minRatePerS } = this.settings;
    const rate = Math.max(candidate.ratePerS, minRatePerS) * memberShare;
    const interval = intervalMs(rate / Math.max(1, members));
    const next = this.schedules.nextAt(candidate, interval, now);
    const isDue = next !== undefined && now <= next + interval;
    const at = isDue ? Math.max(next, now) : now + this.random.next() * interval;
    return { candidate, at, interval };
  }
}
