/** Drift between the time of day and the steady clock above which a suspension is assumed, in ms. */
const toleranceMs = 60;

/**
 * Detects that the host may have been suspended: the time of day advances during a suspension and the
 * steady clock does not. A step of the time of day looks the same. `os.uptime()` would distinguish the
 * two, but it reads a file that not every host keeps consistent with its clocks.
 */
export class SuspensionDetector {
  private offsetMs: number | undefined;

  private constructor() {}

  static create(): SuspensionDetector {
    return new SuspensionDetector();
  }

  /** Returns true once after each possible suspension; both times are in ms. */
  check(timeOfDay: number, steady: number): boolean {
    const offsetMs = timeOfDay - steady;
    const before = this.offsetMs ?? offsetMs;
    this.offsetMs = offsetMs;
    return Math.abs(offsetMs - before) > toleranceMs;
  }
}
