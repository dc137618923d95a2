import { CallSchedules, intervalMs } from './call-schedule';
import type { LimitedEndpoint, PermitDecision } from './permit';
import type { RateLimitSettings } from './settings';

/** Time that a call to an endpoint would have to wait. */
interface Slot {
  readonly candidate: LimitedEndpoint;
  /** Time of the call; in the past if unused permits have accumulated. */
  readonly at: number;
  readonly intervalMs: number;
}

/**
 * Hands out permits for calls to endpoints that limit their requests, so that the calls of all daemons
 * together stay within the limit. An endpoint has one issuer at a time; the
 * next one begins when the permits of its predecessor have expired (`issuerStartMs`). Permits are
 * scheduled at even intervals; a permit may be reserved ahead, and the reservations are the queue.
 */
export class PermitIssuer {
  private readonly schedules = CallSchedules.create();

  private constructor(private readonly settings: RateLimitSettings) {}

  static create(settings: RateLimitSettings): PermitIssuer {
    return new PermitIssuer(settings);
  }

  /** Reserves a call at the candidate that is free first, of at least one; `maxWaitMs` is the time the call can wait. */
  acquire(candidates: readonly LimitedEndpoint[], maxWaitMs: number, now: number): PermitDecision {
    const slots = candidates.map((candidate) => this.slotOf(candidate, now));
    const slot = slots.reduce((best, other) => (other.at < best.at ? other : best));
    const waitMs = Math.max(0, slot.at - now);
    if (waitMs > Math.min(maxWaitMs, this.settings.maxReservationMs)) {
      return { kind: 'refused', retryAfterMs: waitMs };
    }
    this.schedules.set(slot.candidate, slot.at + slot.intervalMs, slot.intervalMs, now);
    return { kind: 'granted', endpoint: slot.candidate.endpoint, waitMs };
  }

  private slotOf(candidate: LimitedEndpoint, now: number): Slot {
    const { issuedShare, burstMs, minRatePerS } = this.settings;
    const interval = intervalMs(Math.max(candidate.ratePerS, minRatePerS) * issuedShare);
    const next = this.schedules.nextAt(candidate, interval, now) ?? -Infinity;
    // Permits accumulate for `burstMs` only.
    const at = Math.max(next, now - burstMs);
    return { candidate, at, intervalMs: interval };
  }
}
