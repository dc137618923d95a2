import type { Clock, StatedLimit, Telemetry } from '@currantdrift/core';
import type { EndpointInstance, EndpointLimits, LimitReport } from './endpoint-limits';

/** Maximum number of endpoints with an unreadable limit that are remembered. */
const maxMalformed = 1_000;

/** Maximum length of an unreadable limit in the log, in characters. */
const maxLoggedText = 100;

export interface LimitObserverOptions {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly limits: EndpointLimits;
}

/** Records the request limits that endpoints state or other members report, and logs changes. */
export class LimitObserver {
  /** Start time by id of the endpoints whose limit could not be read. */
  private readonly malformed = new Map<string, number>();

  private constructor(private readonly options: LimitObserverOptions) {}

  static create(options: LimitObserverOptions): LimitObserver {
    return new LimitObserver(options);
  }

  /** Applies what the response to a call that was sent at `sentAt` states. */
  observe(endpoint: EndpointInstance, stated: StatedLimit, sentAt: number): void {
    const { clock, limits, telemetry } = this.options;
    if (stated.kind === 'malformed') {
      this.reportMalformed(endpoint, stated.text);
      return;
    }
    const ratePerS = stated.kind === 'limit' ? stated.ratePerS : undefined;
    if (!limits.observe(endpoint, ratePerS, sentAt, clock.now())) return;
    telemetry.log('endpoint.limit', { endpoint: endpoint.id, ratePerS, source: 'answer' });
  }

  /** Applies limits that another member reported; `source` is its host or address. */
  applyReports(reports: readonly LimitReport[], source: string): void {
    const { clock, limits, telemetry } = this.options;
    limits.merge(reports, clock.now()).forEach(({ endpoint, ratePerS }) => {
      telemetry.log('endpoint.limit', { endpoint, ratePerS: ratePerS ?? undefined, source });
    });
  }

  /** Counts each limit that cannot be read, and logs the first one of each instance. */
  private reportMalformed({ id, bornAt }: EndpointInstance, text: string): void {
    const { telemetry } = this.options;
    telemetry.count('currantdrift_malformed_limits_total');
    if (this.malformed.get(id) === bornAt) return;
    this.malformed.set(id, bornAt);
    if (this.malformed.size > maxMalformed) this.malformed.delete([...this.malformed.keys()][0]);
    telemetry.log('endpoint.limit.malformed', { endpoint: id, text: text.slice(0, maxLoggedText) });
  }
}
