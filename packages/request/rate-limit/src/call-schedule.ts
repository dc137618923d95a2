import type { LimitedEndpoint } from './permit';

/** Time without calls after which the schedule of an endpoint is dropped, in ms. */
const idleMs = 60_000;

/** Number of schedules from which idle ones are dropped. */
const maxSchedules = 1_000;

const msPerSecond = 1_000;

interface Schedule {
  readonly bornAt: number;
  /** Earliest time of the next call. */
  readonly nextAt: number;
  /** Time between two calls when it was set, in ms. */
  readonly intervalMs: number;
}

/** Time between two calls at a rate per second, in ms. */
export const intervalMs = (ratePerS: number): number => msPerSecond / ratePerS;

/** The time of the next call to each endpoint. */
export class CallSchedules {
  private readonly schedules = new Map<string, Schedule>();

  private constructor() {}

  static create(): CallSchedules {
    return new CallSchedules();
  }

  /**
   * Earliest time of the next call to this instance at an interval; undefined if none has been
   * scheduled. If the interval has changed, the wait changes in the same ratio.
   */
  nextAt({ endpoint, bornAt }: LimitedEndpoint, interval: number, now: number): number | undefined {
    const schedule = this.schedules.get(endpoint);
    if (schedule?.bornAt !== bornAt) return undefined;
    const waitMs = schedule.nextAt - now;
    return waitMs <= 0 ? schedule.nextAt : now + waitMs * (interval / schedule.intervalMs);
  }

  set({ endpoint, bornAt }: LimitedEndpoint, nextAt: number, interval: number, now: number): void {
    if (this.schedules.size >= maxSchedules) this.dropIdle(now);
    this.schedules.set(endpoint, { bornAt, nextAt, intervalMs: interval });
  }

  private dropIdle(now: number): void {
    this.schedules.forEach(({ nextAt }, endpoint) => {
      if (now - nextAt > idleMs) this.schedules.delete(endpoint);
    });
  }
}
