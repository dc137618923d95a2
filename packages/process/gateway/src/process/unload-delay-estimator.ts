/** Growth of the learnt pause after an order that came too early, in ms, and its decay otherwise. */
const increaseMs = 15;
const decayFactor = 0.98;

/** Time after an unload from which a refused order says nothing: runs may still be ending, in ms. */
const maxDelayMs = 150;

/**
 * Learns for how long engines refuse orders after an unload. Answers the load pattern "an unload makes
 * room for a load": the order that follows at once is refused, and each try occupies a connection.
 */
export class UnloadDelayEstimator {
  private estimateMs = 0;

  private constructor() {}

  static create(): UnloadDelayEstimator {
    return new UnloadDelayEstimator();
  }

  /** Pause from an accepted unload to the next order, in ms. */
  get pauseMs(): number {
    return this.estimateMs;
  }

  /** Takes the answer to the first order that came `sinceMs` after an unload. */
  observe(isRefused: boolean, sinceMs: number): void {
    if (sinceMs > maxDelayMs) return;
    this.estimateMs = isRefused
      ? Math.max(this.estimateMs, Math.min(maxDelayMs, sinceMs + increaseMs))
      : this.estimateMs * decayFactor;
  }
}
