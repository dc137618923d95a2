/**
 * Rate at which requests would choose one endpoint, estimated from few events. The prior rate weighs
 * as much as one event, so that the first request neither looks like a burst nor is the only one.
 */
export class ChoiceRate {
  private wants = 0;

  private constructor(
    private readonly priorPerMs: number,
    private readonly beganAt: number,
  ) {}

  /** `priorPerMs` is the rate to expect before the first event. */
  static create(priorPerMs: number, now: number): ChoiceRate {
    return new ChoiceRate(Math.max(Number.EPSILON, priorPerMs), now);
  }

  /** Records an event; returns the rate per ms that was to be expected before it. */
  record(now: number): number {
    const observedMs = Math.max(0, now - this.beganAt);
    const perMs = (1 + this.wants) / (1 / this.priorPerMs + observedMs);
    this.wants += 1;
    return perMs;
  }
}
