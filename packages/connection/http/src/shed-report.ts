import type { Telemetry } from '@currantdrift/core';

/** What was given up to stay within the limits of the host. */
export type Shed = 'request' | 'response' | 'connection' | 'message';

/** Shortest time between two log lines, in ms. */
const logIntervalMs = 1_000;

/** Counts what was shed and logs it, at most one line in an interval. */
export class ShedReport {
  private loggedAt = -Infinity;

  private unlogged = 0;

  private constructor(private readonly telemetry: Telemetry) {}

  static create(telemetry: Telemetry): ShedReport {
    return new ShedReport(telemetry);
  }

  record(what: Shed, now = performance.now()): void {
    this.telemetry.count('currantdrift_shed_total', { what });
    this.unlogged += 1;
    if (now - this.loggedAt < logIntervalMs) return;
    this.telemetry.log('clients.shed', { what, count: this.unlogged });
    this.loggedAt = now;
    this.unlogged = 0;
  }
}
