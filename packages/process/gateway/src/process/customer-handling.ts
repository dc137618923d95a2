import { Authorizer } from '@currantdrift/forward';
import { StallAwareAge } from '../version/stall-aware-age';
import type { GatewaySettings } from './gateway-settings';
import { QuotaHandling, type QuotaHandlingOptions } from './quota-handling';

/** Interval between observations of stalls of this process, in ms. */
const stallCheckIntervalMs = 100;

export interface CustomerHandlingOptions extends Omit<QuotaHandlingOptions, 'stalls' | 'settings'> {
  readonly settings: Pick<GatewaySettings, 'changeBoundMs' | 'quotaBounds' | 'revocationBoundMs'>;
}

/** The components of a process that decide what its customers may use. */
export class CustomerHandling {
  readonly authorizer: Authorizer;

  readonly quotas: QuotaHandling;

  private readonly stalls = StallAwareAge.create();

  private constructor(private readonly options: CustomerHandlingOptions) {
    const { settings, storeCache } = options;
    const { stalls } = this;
    this.authorizer = Authorizer.create({
      configuration: () => storeCache.configuration,
      ageMs: (now) => stalls.correct(storeCache.configurationAgeMs(now), now, Date.now()),
      changeBoundMs: settings.changeBoundMs,
      revocationBoundMs: settings.revocationBoundMs,
    });
    this.quotas = QuotaHandling.create({ ...options, stalls });
  }

  static create(options: CustomerHandlingOptions): CustomerHandling {
    return new CustomerHandling(options);
  }

  /** Observes stalls of this process and its roles for quotas until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      const now = clock.now();
      this.stalls.observe(now, Date.now());
      this.quotas.service.tick(now);
      await clock.sleep(stallCheckIntervalMs, signal);
    }
  }
}
