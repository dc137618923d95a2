import type { BalancerSettings } from './settings';

/** Share of the limit with which an endpoint starts its return. */
const rampStart = 0.1;

/**
 * Failures of one endpoint, and its ejection (circuit breaking). States: in service; ejected until
 * a time; returning, in which one failure ejects again for twice as long.
 */
export class Outlier {
  private row = 0;

  private successes = 0;

  private failures = 0;

  private windowStart = 0;

  private ejections = 0;

  private ejectedAt = -Infinity;

  private ejectedUntil = -Infinity;

  private constructor(private readonly settings: BalancerSettings) {}

  static create(settings: BalancerSettings): Outlier {
    return new Outlier(settings);
  }

  isEjected(now: number): boolean {
    return now < this.ejectedUntil;
  }

  /** End of the present or last ejection, in ms since the epoch. */
  get until(): number {
    return this.ejectedUntil;
  }

  /** Share of its limit that the endpoint may use, above 0 and up to 1. */
  ramp(now: number): number {
    if (this.isEjected(now)) return rampStart;
    return Math.min(1, rampStart + (now - this.ejectedUntil) / this.settings.rampMs);
  }

  succeeded(startedAt: number, now: number): void {
    this.roll(now);
    this.successes += 1;
    // A success that started before the ejection says nothing about the endpoint after it.
    if (startedAt >= this.ejectedAt) this.row = 0;
    if (this.ejections > 0 && now - this.ejectedUntil > this.settings.rampMs) {
      this.ejections = Math.max(0, this.ejections - this.forgiven(now));
    }
  }

  /** Counts a failure; true if the endpoint ought to be ejected. */
  failed(startedAt: number, now: number): boolean {
    if (this.isEjected(now) || startedAt < this.ejectedAt) return false;
    this.roll(now);
    this.failures += 1;
    this.row += 1;
    if (this.ejections > 0 && this.ramp(now) < 1) return true;
    if (this.row >= this.settings.consecutiveFailures) return true;
    const samples = this.successes + this.failures;
    return (
      samples >= this.settings.minSamples && this.failures / samples >= this.settings.failureRate
    );
  }

  eject(now: number): void {
    const { ejectionMs, maxEjectionMs } = this.settings;
    this.ejections += 1;
    this.ejectedAt = now;
    this.ejectedUntil = now + Math.min(maxEjectionMs, ejectionMs * 2 ** (this.ejections - 1));
    this.row = 0;
    this.successes = 0;
    this.failures = 0;
  }

  /** Ejections forgotten by now: one when the time in service has reached the last ejection's. */
  private forgiven(now: number): number {
    const lastMs = this.ejectedUntil - this.ejectedAt;
    if (now - this.ejectedUntil < lastMs + this.settings.rampMs) return 0;
    // Restarts the wait for the next one.
    this.ejectedAt = now - lastMs;
    this.ejectedUntil = now - this.settings.rampMs;
    return 1;
  }

  private roll(now: number): void {
    if (now - this.windowStart <= this.settings.windowMs) return;
    this.windowStart = now;
    this.successes = 0;
    this.failures = 0;
  }
}
