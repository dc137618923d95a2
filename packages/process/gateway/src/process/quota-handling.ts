import type { Clock, Peers, Random, Telemetry } from '@currantdrift/core';
import { defaultForwardSettings, QuotaAdmission, type RetrySpread } from '@currantdrift/forward';
import { QuotaLeases } from '@currantdrift/quota';
import type { Member } from '../version/members';
import type { StallAwareAge } from '../version/stall-aware-age';
import type { GatewaySettings } from './gateway-settings';
import { QuotaService } from './quota-service';
import type { StoreCache } from './store-cache';

export interface QuotaHandlingOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly peers: Peers;
  readonly self: Member;
  readonly settings: Pick<GatewaySettings, 'changeBoundMs' | 'quotaBounds'>;
  readonly storeCache: StoreCache;
  readonly stalls: StallAwareAge;
  readonly retrySpread: RetrySpread;
}

/** The components of a process that enforce the quotas of customers. */
export class QuotaHandling {
  readonly service: QuotaService;

  readonly admission: QuotaAdmission;

  private constructor(options: QuotaHandlingOptions) {
    const { clock, telemetry, settings, storeCache, stalls, retrySpread } = options;
    const correct = (ageMs: number, now: number) => stalls.correct(ageMs, now, Date.now());
    const ageMs = (since: number, now: number) => correct(now - since, now);
    this.service = QuotaService.create({
      ...options,
      members: storeCache.members,
      bounds: settings.quotaBounds,
      changeBoundMs: settings.changeBoundMs,
      configuration: () => storeCache.configuration,
      ageMs,
      membersAgeMs: (now) => correct(storeCache.daemonEntriesAgeMs(now), now),
    });
    const quotas = QuotaLeases.create({ clock, issuer: this.service, ageMs });
    const { defaultRetryAfterMs } = defaultForwardSettings;
    this.admission = QuotaAdmission.create({ telemetry, quotas, retrySpread, defaultRetryAfterMs });
  }

  static create(options: QuotaHandlingOptions): QuotaHandling {
    return new QuotaHandling(options);
  }
}
