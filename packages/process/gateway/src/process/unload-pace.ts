/** Growth of the learnt pause after an order that came too early, in ms, and its decay otherwise. */
const growthMs = 15;
const decay = 0.98;

/** Time after an unload from which a refused order says nothing: runs may still be ending, in ms. */
const maxPauseMs = 150;

/**
 * Learns for how long engines refuse orders after an unload. Answers the load pattern "an unload makes
 * room for a load": the order that follows at once is refused, and each try occupies a connection.
 */
export class UnloadPace {
  private learntMs = 0;

  private constructor() {}

  static create(): UnloadPace {
    return new UnloadPace();
  }

  /** Pause from an accepted unload to the next order, in ms. */
  get pauseMs(): number {
    return this.learntMs;
  }

  /** Takes the answer to the first order that came `sinceMs` after an unload. */
  answered(isRefused: boolean, sinceMs: number): void {
    if (sinceMs > maxPauseMs) return;
    this.learntMs = isRefused
      ? Math.max(this.learntMs, Math.min(maxPauseMs, sinceMs + growthMs))
      : this.learntMs * decay;
  }
}
