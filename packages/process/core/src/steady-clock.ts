import { type Clock, SystemClock } from './clock';

/** Clock that starts near zero, never jumps, and stands still while the host is suspended. */
export class MonotonicClock implements Clock {
  private readonly timers = SystemClock.create();

  private constructor() {}

  static create(): MonotonicClock {
    return new MonotonicClock();
  }

  now(): number {
    return performance.now();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return this.timers.sleep(ms, signal);
  }
}
