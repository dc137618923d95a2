/** Change between the time of day and the steady clock that may be a suspension, in ms. */
const toleranceMs = 60;

/**
 * Notices that the host may have been suspended: the time of day goes on then and the steady clock
 * does not. A step of the time of day looks the same. `os.uptime()` would tell the two apart, but it
 * reads a file that not every host keeps in step with its clocks.
 */
export class SuspensionDetector {
  private offsetMs: number | undefined;

  private constructor() {}

  static create(): SuspensionDetector {
    return new SuspensionDetector();
  }

  /** True once after each possible suspension; both times are in ms. */
  check(timeOfDay: number, steady: number): boolean {
    const offsetMs = timeOfDay - steady;
    const before = this.offsetMs ?? offsetMs;
    this.offsetMs = offsetMs;
    return Math.abs(offsetMs - before) > toleranceMs;
  }
}
