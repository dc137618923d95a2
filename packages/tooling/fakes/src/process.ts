import { setMaxListeners } from 'node:events';
import type { Clock } from '@currantdrift/core';

/** A simulated process: paused, it holds back all that it does; killed, it does nothing more. */
export class Process {
  private thawed: Promise<void> = Promise.resolve();

  private release: () => void = () => {};

  private frozen = false;

  private readonly death = new AbortController();

  private constructor(private readonly inner: Clock) {
    // Every open call of the process listens for its death.
    setMaxListeners(0, this.death.signal);
  }

  static create(clock: Clock): Process {
    return new Process(clock);
  }

  get isPaused(): boolean {
    return this.frozen && !this.isDead;
  }

  get isDead(): boolean {
    return this.death.signal.aborted;
  }

  /** Aborts when the process is killed. */
  get dead(): AbortSignal {
    return this.death.signal;
  }

  pause(): void {
    if (this.frozen) return;
    this.frozen = true;
    this.thawed = new Promise((resolve) => {
      this.release = resolve;
    });
  }

  resume(): void {
    if (this.isDead) return;
    this.frozen = false;
    this.release();
  }

  kill(): void {
    this.pause();
    this.death.abort();
  }

  /** Runs a call of the process; its start and its return wait while the process is paused. */
  async gate<T>(call: () => Promise<T>): Promise<T> {
    if (this.frozen) await this.thawed;
    const result = await call();
    while (this.frozen) await this.thawed;
    return result;
  }

  /** The clock as the process uses it. */
  get clock(): Clock {
    return {
      now: () => this.inner.now(),
      sleep: (ms, signal) => this.gate(() => this.inner.sleep(ms, signal)),
    };
  }

  /** An interface to the outside, as the process uses it; each method is a call. */
  wrap<T extends object>(target: T): T {
    return new Proxy(target, {
      get: (object, name) => {
        const value: unknown = Reflect.get(object, name, object);
        if (typeof value !== 'function') return value;
        return (...input: unknown[]) =>
          this.gate(() => Promise.resolve(Reflect.apply(value, object, input) as unknown));
      },
    });
  }
}
