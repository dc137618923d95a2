interface Transfer {
  remaining: number;
  readonly done: () => void;
}

/**
 * A medium that serves up to `fullSpeed` transfers at full speed and shares that capacity evenly
 * among more. Work is in ms at full speed.
 */
export class SharedMedium {
  private readonly transfers = new Set<Transfer>();

  private slowdown = 1;

  private at = 0;

  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly fullSpeed: number) {}

  static create(fullSpeed: number): SharedMedium {
    return new SharedMedium(fullSpeed);
  }

  get inTransit(): number {
    return this.transfers.size;
  }

  /** All transfers take `factor` times as long from now on. */
  setSlowdown(factor: number, now = Date.now()): void {
    this.progress(now);
    this.slowdown = factor;
    this.schedule();
  }

  /** Resolves when `work` is done, or when `signal` aborts; tells which. */
  transfer(work: number, signal?: AbortSignal, now = Date.now()): Promise<'done' | 'aborted'> {
    return new Promise((resolve) => {
      this.progress(now);
      const transfer: Transfer = { remaining: work, done: () => resolve('done') };
      this.transfers.add(transfer);
      const onAbort = () => {
        this.progress(Date.now());
        this.transfers.delete(transfer);
        this.schedule();
        resolve('aborted');
      };
      if (signal?.aborted) onAbort();
      else signal?.addEventListener('abort', onAbort, { once: true });
      this.schedule();
    });
  }

  private get speed(): number {
    return Math.min(1, this.fullSpeed / Math.max(1, this.transfers.size)) / this.slowdown;
  }

  private progress(now: number): void {
    const work = (now - this.at) * this.speed;
    this.at = now;
    for (const transfer of this.transfers) transfer.remaining -= work;
  }

  private schedule(): void {
    clearTimeout(this.timer);
    if (this.transfers.size === 0) return;
    const least = Math.min(...[...this.transfers].map(({ remaining }) => remaining));
    this.timer = setTimeout(() => this.complete(), Math.max(0, Math.ceil(least / this.speed)));
  }

  private complete(): void {
    this.progress(Date.now());
    // Timers fire up to a millisecond early.
    const finished = [...this.transfers].filter(({ remaining }) => remaining < 1);
    finished.forEach((transfer) => this.transfers.delete(transfer));
    this.schedule();
    finished.forEach(({ done }) => done());
  }
}
