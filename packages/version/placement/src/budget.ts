import type { Clock } from '@currantdrift/core';

interface PendingUse {
  readonly deadline: number;
  readonly start: () => void;
}

/** Limits of a `Budget`; both are shares of what all domains have together. */
export interface BudgetLimits {
  /** Uses at once. */
  readonly maxConcurrent: number;
  /** Starts per second; `Infinity` for no limit. */
  readonly perSecond: number;
}

/**
 * Share of a limit for a domain, in proportion to its engines. At least one use at a time is
 * allowed, since a domain must be able to load while it is cut off from the others.
 */
export const domainShare = (limit: number, engines: number, allEngines: number): number =>
  allEngines <= 0 ? limit : Math.max(1, Math.floor((limit * engines) / allEngines));

/** Admits uses of a shared resource in order of deadline, within a rate and a number at once. */
export class Budget {
  private waiting: PendingUse[] = [];

  private used = 0;

  private nextStartAt = 0;

  private timer = false;

  private constructor(
    private readonly clock: Clock,
    private readonly limits: () => BudgetLimits,
  ) {}

  /** `limits` is asked at each use, so that shares left unused elsewhere can be lent. */
  static create(clock: Clock, limits: () => BudgetLimits): Budget {
    return new Budget(clock, limits);
  }

  /** Uses that wait for their turn. */
  get queued(): number {
    return this.waiting.length;
  }

  /** Expected wait, in ms, of a further use when one use takes `useMs`. */
  waitMs(useMs: number): number {
    const { maxConcurrent, perSecond } = this.limits();
    const ahead = this.used + this.waiting.length;
    const byConcurrency =
      ahead < maxConcurrent ? 0 : ((ahead - maxConcurrent + 1) / maxConcurrent) * useMs;
    return Math.max(byConcurrency, (this.waiting.length / perSecond) * 1000);
  }

  /** Resolves when the use may start, with the function that ends it. */
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
