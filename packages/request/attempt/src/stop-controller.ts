import type { Clock } from '@currantdrift/core';
import { err, type Result } from 'neverthrow';
import type { AttemptContext, Chooser, Target } from './chooser';
import type { Reason } from './outcome';

/** Stops a request when its deadline passes or its caller disconnects. */
export class StopController {
  private readonly controller = new AbortController();

  private stopReason: Reason | undefined;

  private readonly listeners = new Set<() => void>();

  private constructor(private readonly step: string) {}

  /** `deadline` is in ms since the epoch; `signal` is aborted when the caller disconnects. */
  static start(step: string, clock: Clock, deadline: number, signal?: AbortSignal): StopController {
    const stop = new StopController(step);
    const onCallerGone = () => stop.trigger('caller', 'the caller disconnected');
    if (signal?.aborted) onCallerGone();
    else signal?.addEventListener('abort', onCallerGone, { once: true });
    stop.listeners.add(() => signal?.removeEventListener('abort', onCallerGone));
    stop.waitForDeadline(clock, deadline).catch(() => {});
    return stop;
  }

  /** Why the request was stopped; undefined if it was not. */
  get reason(): Reason | undefined {
    return this.stopReason;
  }

  /** Aborted when the request is stopped or has ended. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Stops the request; has no effect after it has ended. */
  trigger(peer: string, message: string): void {
    if (this.controller.signal.aborted) return;
    this.stopReason = { step: this.step, peer, message };
    this.end();
  }

  /** Marks the request as ended: stops the deadline timer and calls the listeners. */
  end(): void {
    if (this.controller.signal.aborted) return;
    this.controller.abort();
    this.listeners.forEach((listener) => listener());
    this.listeners.clear();
  }

  /** Calls `listener` once when the request stops or ends; returns a function to remove it. */
  onEnd(listener: () => void): () => void {
    if (this.controller.signal.aborted) listener();
    else this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Chooses a target. A target that arrives after the end or after `signal` is released unused. */
  choose(
    chooser: Chooser,
    tried: readonly string[],
    context: AttemptContext,
    clock: Clock,
    signal: AbortSignal = this.signal,
  ): Promise<Result<Target, Reason>> {
    return new Promise((resolve) => {
      let settled = false;
      let removeListeners = () => {};
      const settle = (result: Result<Target, Reason>) => {
        if (!settled) {
          settled = true;
          removeListeners();
          resolve(result);
        } else if (result.isOk()) result.value.lease.release('neutral', clock.now());
      };
      const onStop = () =>
        settle(err(this.stopReason ?? this.chooseFailure('the request has ended')));
      const removeEndListener = this.onEnd(onStop);
      signal.addEventListener('abort', onStop, { once: true });
      removeListeners = () => {
        removeEndListener();
        signal.removeEventListener('abort', onStop);
      };
      if (settled) return;
      // An exception in the chooser has the same effect as finding no endpoint.
      const choose = async () => chooser(tried, signal, context);
      choose().then(settle, (error: unknown) => settle(err(this.chooseFailure(String(error)))));
    });
  }

  private chooseFailure(message: string): Reason {
    return { step: `${this.step}.choose`, peer: 'self', message };
  }

  private async waitForDeadline(clock: Clock, deadline: number): Promise<void> {
    const remainingMs = deadline - clock.now();
    if (remainingMs > 0) await clock.sleep(remainingMs, this.signal);
    this.trigger('self', 'the deadline has passed');
  }
}
