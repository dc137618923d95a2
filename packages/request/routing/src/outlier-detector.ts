import type { BalancerSettings } from './settings';

/**
 * Counts the failures of one endpoint and ejects it (circuit breaking). An endpoint is in service,
 * ejected until a given time, or returning. A failure while it is returning ejects it again, for
 * twice as long.
 */
export class OutlierDetector {
  private failuresInRow = 0;

  private successes = 0;

  private failures = 0;

  private windowStart = 0;

  private ejections = 0;

  private ejectedAt = -Infinity;

  private ejectedUntil = -Infinity;

  private constructor(private readonly settings: BalancerSettings) {}

  static create(settings: BalancerSettings): OutlierDetector {
    return new OutlierDetector(settings);
  }

  isEjected(now: number): boolean {
    return now < this.ejectedUntil;
  }

  /** End of the current or last ejection, in ms since the epoch. */
  get until(): number {
    return this.ejectedUntil;
  }

  succeeded(startedAt: number, now: number): void {
    this.rollWindow(now);
    this.successes += 1;
    // A request that started before the ejection says nothing about the endpoint after it.
    if (startedAt >= this.ejectedAt) this.failuresInRow = 0;
    if (this.ejections > 0 && now - this.ejectedUntil > this.settings.probationMs) {
      this.ejections = Math.max(0, this.ejections - this.forgivenEjections(now));
    }
  }

  /** Records a failure; returns true if the endpoint should be ejected. */
  failed(startedAt: number, now: number): boolean {
    if (this.isEjected(now) || startedAt < this.ejectedAt) return false;
    this.rollWindow(now);
    this.failures += 1;
    this.failuresInRow += 1;
    if (this.ejections > 0 && now - this.ejectedUntil < this.settings.probationMs) return true;
    if (this.failuresInRow >= this.settings.consecutiveFailures) return true;
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
    this.failuresInRow = 0;
    this.successes = 0;
    this.failures = 0;
  }

  /** Number of ejections to forget: one if full service has lasted as long as the last ejection. */
  private forgivenEjections(now: number): number {
    const lastMs = this.ejectedUntil - this.ejectedAt;
    if (now - this.ejectedUntil < lastMs + this.settings.probationMs) return 0;
    // Restarts the time in service for the next one.
    this.ejectedAt = now - lastMs;
    this.ejectedUntil = now - this.settings.probationMs;
    return 1;
  }

  private rollWindow(now: number): void {
    if (now - this.windowStart <= this.settings.windowMs) return;
    this.windowStart = now;
    this.successes = 0;
    this.failures = 0;
  }
}
