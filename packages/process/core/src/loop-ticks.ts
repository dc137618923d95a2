import type { Clock } from './clock';

/** Interval between the ticks, in ms. */
const tickMs = 50;

/**
 * Remembers when the event loop last ran. Signals are handled by the event loop, so a busy or paused
 * process handles one later than it was sent.
 */
export class LoopTicks {
  private lastAt: number;

  private beforeLastAt: number;

  private constructor(now: number) {
    this.lastAt = now;
    this.beforeLastAt = now;
  }

  static create(now: number): LoopTicks {
    return new LoopTicks(now);
  }

  /** Records a tick every 50 ms; does not keep the process alive. */
  start(clock: Clock): void {
    setInterval(() => this.tick(clock.now()), tickMs).unref();
  }

  tick(now: number): void {
    this.beforeLastAt = this.lastAt;
    this.lastAt = now;
  }

  /**
   * A time, at most two ticks ago in a process that is not held up, before which no signal was sent that
   * is handled now. The last tick may be later than the signal: after a pause, timers run before signals.
   */
  get signalledAfter(): number {
    return this.beforeLastAt;
  }
}
