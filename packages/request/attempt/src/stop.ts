import type { Clock } from '@currantdrift/core';
import { err, type Result } from 'neverthrow';
import type { AttemptContext, Chooser, Target } from './chooser';
import type { Reason } from './outcome';

/** What ends a request from outside: its deadline, or its caller. */
export class Stop {
  private readonly controller = new AbortController();

  private why: Reason | undefined;

  private readonly listeners = new Set<() => void>();

  private constructor(private readonly step: string) {}

  /** `deadline` is in ms since the epoch; `signal` is aborted when the caller has gone. */
  static start(step: string, clock: Clock, deadline: number, signal?: AbortSignal): Stop {
    const stop = new Stop(step);
    const leave = () => stop.now('caller', 'the caller has gone');
    if (signal?.aborted) leave();
    else signal?.addEventListener('abort', leave, { once: true });
    stop.listeners.add(() => signal?.removeEventListener('abort', leave));
    stop.waitFor(clock, deadline).catch(() => {});
    return stop;
  }

  /** Why the request was stopped; undefined while it goes on. */
  get reason(): Reason | undefined {
    return this.why;
  }

  /** Aborted when the request is stopped or has ended. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Stops the request. */
  now(peer: string, message: string): void {
    if (this.controller.signal.aborted) return;
    this.why = { step: this.step, peer, message };
    this.end();
  }

  /** Ends the wait for the deadline, because the request has ended. */
  end(): void {
    if (this.controller.signal.aborted) return;
    this.controller.abort();
    this.listeners.forEach((listener) => listener());
    this.listeners.clear();
  }

  /** Calls back once when the request is stopped or has ended; gives the way to undo that. */
  onEnd(listener: () => void): () => void {
    if (this.controller.signal.aborted) listener();
    else this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Asks for an endpoint. One that comes after the end or after `signal` is released unused. */
  choose(
    chooser: Chooser,
    tried: readonly string[],
    choice: AttemptContext,
    clock: Clock,
    signal: AbortSignal = this.signal,
  ): Promise<Result<Target, Reason>> {
    return new Promise((resolve) => {
      let settled = false;
      let undo = () => {};
      const settle = (result: Result<Target, Reason>) => {
        if (!settled) {
          settled = true;
          undo();
          resolve(result);
        } else if (result.isOk()) result.value.lease.release('neutral', clock.now());
      };
      const stopped = () => settle(err(this.why ?? this.because('the request has ended')));
      const forget = this.onEnd(stopped);
      signal.addEventListener('abort', stopped, { once: true });
      undo = () => {
        forget();
        signal.removeEventListener('abort', stopped);
      };
      if (settled) return;
      // A chooser that throws ends the request like one that finds no endpoint.
      const choose = async () => chooser(tried, signal, choice);
      choose().then(settle, (error: unknown) => settle(err(this.because(String(error)))));
    });
  }

  private because(message: string): Reason {
    return { step: `${this.step}.choose`, peer: 'self', message };
  }

  private async waitFor(clock: Clock, deadline: number): Promise<void> {
    const left = deadline - clock.now();
    if (left > 0) await clock.sleep(left, this.signal);
    this.now('self', 'the deadline has passed');
  }
}
