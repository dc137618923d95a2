/** Time between two observations above which the process was stalled, in ms. */
const minStallMs = 500;

/** Advance of the time of day over the steady clock above which the host was suspended, in ms. */
const minSuspensionMs = 60;

/** Time after a stall for which messages that arrived during it may still be read, in ms. */
const settleMs = 300;

/** Number of stalls that are kept; older ones precede any confirmation that is still of use. */
const maxStalls = 32;

interface Stall {
  readonly until: number;
  readonly lengthMs: number;
}

/**
 * Corrects the age of what this process knows for times in which it did not run. A suspension does not
 * advance the steady clock, and messages that were sent before a freeze are read after it as if they were
 * new; both make knowledge look younger than it is.
 */
export class StallAwareAge {
  private readonly stalls: Stall[] = [];

  private observedAt: number | undefined;

  private offsetMs = 0;

  private constructor() {}

  static create(): StallAwareAge {
    return new StallAwareAge();
  }

  /** Call this at least every `minStallMs` while the process runs; both times are in ms. */
  observe(now: number, timeOfDay: number): void {
    const offsetMs = timeOfDay - now;
    if (this.observedAt !== undefined) {
      const pausedMs = now - this.observedAt;
      const suspendedMs = Math.max(0, offsetMs - this.offsetMs);
      const isSuspended = suspendedMs > minSuspensionMs;
      const lengthMs = (pausedMs > minStallMs ? pausedMs : 0) + (isSuspended ? suspendedMs : 0);
      if (lengthMs > 0) this.record({ until: now + settleMs, lengthMs });
    }
    this.observedAt = now;
    this.offsetMs = offsetMs;
  }

  /** Upper bound of the age, in ms, of knowledge that appears to be `ageMs` old. */
  correct(ageMs: number, now: number, timeOfDay: number): number {
    this.observe(now, timeOfDay);
    const confirmedAt = now - ageMs;
    return this.stalls
      .filter(({ until }) => confirmedAt < until)
      .reduce((sum, { lengthMs }) => sum + lengthMs, ageMs);
  }

  private record(stall: Stall): void {
    this.stalls.push(stall);
    if (this.stalls.length > maxStalls) this.stalls.shift();
  }
}
