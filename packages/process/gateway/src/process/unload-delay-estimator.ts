/** Increase of the estimate after an order that came too early, in ms, and its decay otherwise. */
const increaseMs = 15;
const decayFactor = 0.98;

/** Responses later than this after an unload are ignored: runs may still be ending then, in ms. */
const maxDelayMs = 150;

/**
 * Estimates for how long engines refuse orders after an unload. A load often follows the unload that
 * makes room for it; if it is sent at once it is refused, and each attempt occupies a connection.
 */
export class UnloadDelayEstimator {
  private estimateMs = 0;

  private constructor() {}

  static create(): UnloadDelayEstimator {
    return new UnloadDelayEstimator();
  }

  /** Estimated delay between an accepted unload and the next order, in ms. */
  get pauseMs(): number {
    return this.estimateMs;
  }

  /** Records the response to the first order after an unload, which was sent `sinceMs` after it. */
  observe(isRefused: boolean, sinceMs: number): void {
    if (sinceMs > maxDelayMs) return;
    this.estimateMs = isRefused
      ? Math.max(this.estimateMs, Math.min(maxDelayMs, sinceMs + increaseMs))
      : this.estimateMs * decayFactor;
  }
}
