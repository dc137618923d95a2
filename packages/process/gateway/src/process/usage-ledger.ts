import { adapterKey } from '@currantdrift/residency';
import type { UsageMessage } from '../connection/peer-messages';

/** Age of a member's last usage report up to which it counts as reachable, in ms. */
const reportTimeoutMs = 1_500;

/** Age at which a usage report is dropped, so that its requests in flight no longer count, in ms. */
const usageLifetimeMs = 5_000;

/** Time for which the sums are reused, in ms. */
const cacheMs = 25;

/** Requests in flight by engine, then by model and by `model/adapter`. */
export type FlightCounts = ReadonlyMap<string, ReadonlyMap<string, number>>;

/** The last usage report of each member. */
export class UsageLedger {
  private readonly usage = new Map<string, { message: UsageMessage; at: number }>();

  private counts: { readonly at: number; readonly byEngine: FlightCounts } | undefined;

  private constructor() {}

  static create(): UsageLedger {
    return new UsageLedger();
  }

  record(message: UsageMessage, now: number): void {
    this.usage.set(message.host, { message, at: now });
  }

  /** Whether a member has sent a report recently. */
  hasReported(host: string, now: number): boolean {
    const report = this.usage.get(host);
    return report !== undefined && now - report.at < reportTimeoutMs;
  }

  /** Requests in flight as last reported by the members; drops old reports. */
  flights(now: number): UsageMessage['flights'] {
    this.usage.forEach(({ at }, host) => {
      if (now - at > usageLifetimeMs) this.usage.delete(host);
    });
    return [...this.usage.values()].flatMap(({ message }) => message.flights);
  }

  /** Requests in flight, summed over all members; at most `cacheMs` old. */
  inFlight(now: number): FlightCounts {
    if (this.counts !== undefined && now - this.counts.at < cacheMs) return this.counts.byEngine;
    const byEngine = this.countFlights(now);
    this.counts = { at: now, byEngine };
    return byEngine;
  }

  private countFlights(now: number): FlightCounts {
    const byEngine = new Map<string, Map<string, number>>();
    this.flights(now).forEach(({ endpoint, model, adapter, count }) => {
      const counts = byEngine.get(endpoint) ?? new Map<string, number>();
      byEngine.set(endpoint, counts);
      counts.set(model, (counts.get(model) ?? 0) + count);
      if (adapter === undefined) return;
      const key = adapterKey(model, adapter);
      counts.set(key, (counts.get(key) ?? 0) + count);
    });
    return byEngine;
  }
}
