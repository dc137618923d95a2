import type { Clock } from '@currantdrift/core';

interface PendingUse {
  readonly deadline: number;
  readonly start: () => void;
}

/** Limits of a `Budget`: this domain's share of the limits over all domains. */
export interface BudgetLimits {
  /** Largest number of concurrent uses. */
  readonly maxConcurrent: number;
  /** Largest number of uses started per second; `Infinity` for no limit. */
  readonly perSecond: number;
}

/**
 * A domain's share of a limit, in proportion to its number of engines. It is at least 1, since a
 * domain must be able to load while it is partitioned from the others.
 */
export const domainShare = (limit: number, engines: number, allEngines: number): number =>
  allEngines <= 0 ? limit : Math.max(1, Math.floor((limit * engines) / allEngines));

/**
 * Limits the concurrency and rate of uses of a shared resource; the earliest deadline goes first.
 */
export class Budget {
  private waiting: PendingUse[] = [];

  private used = 0;

  private nextStartAt = 0;

  private timer = false;

  private constructor(
    private readonly clock: Clock,
    private readonly limits: () => BudgetLimits,
  ) {}

  /** `limits` is read again at each use, so that shares unused by other domains can be borrowed. */
  static create(clock: Clock, limits: () => BudgetLimits): Budget {
    return new Budget(clock, limits);
  }

  /** Number of uses that wait to start. */
  get queued(): number {
    return this.waiting.length;
  }

  /** Expected wait, in ms, of one more use if each use takes `useMs`. */
  waitMs(useMs: number): number {
    const { maxConcurrent, perSecond } = this.limits();
    const ahead = this.used + this.waiting.length;
    const byConcurrency =
      ahead < maxConcurrent ? 0 : ((ahead - maxConcurrent + 1) / maxConcurrent) * useMs;
    return Math.max(byConcurrency, (this.waiting.length / perSecond) * 1000);
  }

  /** Resolves when the use may start, with a function to call when it ends. */
  acquire(deadline: number): Promise<() => void> {
    return new Promise((resolve) => {
      const start = () => {
        this.used += 1;
        let open = true;
        resolve(() => {
          if (open) this.used -= 1;
          open = false;
          this.admit();
        });
      };
      this.waiting = [...this.waiting, { deadline, start }].sort((a, b) => a.deadline - b.deadline);
      this.admit();
    });
  }

  private admit(): void {
    const { maxConcurrent, perSecond } = this.limits();
    while (this.waiting.length > 0 && this.used < maxConcurrent) {
      const now = this.clock.now();
      if (now < this.nextStartAt) {
        this.wait(this.nextStartAt - now);
        return;
      }
      this.nextStartAt = now + (Number.isFinite(perSecond) ? 1000 / perSecond : 0);
      const [next, ...rest] = this.waiting;
      this.waiting = rest;
      next.start();
    }
  }

  private wait(ms: number): void {
    if (this.timer) return;
    this.timer = true;
    this.clock
      .sleep(ms)
      .then(() => {
        this.timer = false;
        this.admit();
      })
      .catch(() => {});
  }
}
