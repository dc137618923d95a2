import type { Clock } from '@currantdrift/core';
import type { EndpointDirectory, EndpointRecord } from '@currantdrift/fleet';
import type { LimitedEndpoint, RequestPermit, RequestPermits } from '@currantdrift/rate-limit';

/** Shortest time between a refusal and the next question for a permit, in ms. */
const minAskIntervalMs = 300;

export interface PermitWaitOptions {
  readonly clock: Clock;
  readonly directory: EndpointDirectory;
  readonly permits: RequestPermits;
}

/** The permit that one request holds or was refused for endpoints that limit their requests. */
export class PermitWait {
  private permit: RequestPermit | undefined;

  private refusedUntil: number | undefined;

  private refusedAt = -Infinity;

  private waitingSince: number | undefined;

  private constructor(private readonly options: PermitWaitOptions) {}

  static create(options: PermitWaitOptions): PermitWait {
    return new PermitWait(options);
  }

  /** Time at which the permit may be used; undefined without a permit. */
  get usableAt(): number | undefined {
    return this.permit?.usableAt;
  }

  /** Time at which the next permit may be free, after a refusal. */
  get retryAt(): number | undefined {
    return this.refusedUntil;
  }

  /** Whether only endpoints that limit their requests can serve the request. */
  get isWaiting(): boolean {
    return this.permit !== undefined || this.refusedUntil !== undefined;
  }

  /** Forgets what was decided before, since an endpoint without a limit can serve the request. */
  clear(): void {
    this.permit = undefined;
    this.refusedUntil = undefined;
    this.refusedAt = -Infinity;
  }

  /** Acquires a permit for one of the endpoints unless one is held. */
  async acquire(records: readonly EndpointRecord[], maxWaitMs: number): Promise<void> {
    const { clock, permits } = this.options;
    const now = clock.now();
    this.waitingSince ??= now;
    if (this.isHeldFor(records, now) || now < this.refusedAt + minAskIntervalMs) return;
    const decision = await permits.acquire(this.limitedEndpoints(records), maxWaitMs);
    this.permit = decision.unwrapOr(undefined);
    if (decision.isOk()) {
      this.refusedUntil = undefined;
      return;
    }
    this.refusedAt = clock.now();
    this.refusedUntil = this.refusedAt + decision.error.retryAfterMs;
  }

  /** Time since the request first asked for a permit, in ms. */
  waitedMs(now: number): number {
    return now - (this.waitingSince ?? now);
  }

  /** Takes the permit if it may be used now. */
  take(now: number): RequestPermit | undefined {
    const { permit } = this;
    if (permit === undefined || now < permit.usableAt) return undefined;
    this.clear();
    return now <= permit.expiresAt ? permit : undefined;
  }

  private isHeldFor(records: readonly EndpointRecord[], now: number): boolean {
    const { permit } = this;
    return (
      permit !== undefined &&
      now <= permit.expiresAt &&
      records.some(({ id }) => id === permit.endpoint)
    );
  }

  private limitedEndpoints(records: readonly EndpointRecord[]): LimitedEndpoint[] {
    const { limits } = this.options.directory;
    return records.flatMap((record) => {
      const ratePerS = limits.rate(record);
      return ratePerS === undefined
        ? []
        : [{ endpoint: record.id, bornAt: record.bornAt, ratePerS }];
    });
  }
}
