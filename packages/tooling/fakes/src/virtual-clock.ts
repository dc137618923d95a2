import type { Clock } from '@currantdrift/core';
import FakeTimers, { type Clock as TimerClock } from '@sinonjs/fake-timers';

/** Clock whose time moves only when `advance` is called. */
export class VirtualClock implements Clock {
  private constructor(private readonly timers: TimerClock) {}

  /** `start` is in ms since the epoch. */
  static create(start = 0): VirtualClock {
    return new VirtualClock(FakeTimers.createClock(start));
  }

  now(): number {
    return this.timers.now;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      let timer: ReturnType<TimerClock['setTimeout']> | undefined;
      const finish = () => {
        if (timer !== undefined) this.timers.clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      timer = this.timers.setTimeout(finish, ms);
      signal?.addEventListener('abort', finish, { once: true });
    });
  }

  /** Runs everything that is due in the next `ms` milliseconds, in order. */
  async advance(ms: number): Promise<void> {
    await this.timers.tickAsync(ms);
  }

  /** Advances in steps of `stepMs` until `promise` settles; gives its value. */
  async settle<T>(promise: Promise<T>, stepMs = 10, limitMs = 600_000): Promise<T> {
    let settled = false;
    const mark = () => {
      settled = true;
    };
    promise.then(mark, mark);
    const end = this.now() + limitMs;
    await this.advance(0);
    while (!settled && this.now() < end) await this.advance(stepMs);
    if (!settled) throw new Error(`promise is still pending after ${limitMs} ms of virtual time`);
    return promise;
  }
}
