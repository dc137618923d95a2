/** Source of the current time and timers. Decision functions take `now` as a parameter instead. */
export interface Clock {
  /** Milliseconds since the Unix epoch. */
  now(): number;
  /** Resolves after `ms` milliseconds, or earlier when `signal` is aborted. Never rejects. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Clock that reads the system time. */
export class SystemClock implements Clock {
  private constructor() {}

  static create(): SystemClock {
    return new SystemClock();
  }

  now(): number {
    return Date.now();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      let timer: NodeJS.Timeout | undefined;
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      timer = setTimeout(finish, ms);
      signal?.addEventListener('abort', finish, { once: true });
    });
  }
}
