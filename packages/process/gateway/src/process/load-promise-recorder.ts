import type { Telemetry } from '@currantdrift/core';
import {
  estimateReady,
  LoadForecasts,
  type LoadPromise,
  LoadPromises,
  type NeededReplica,
  type PlanInput,
} from '@currantdrift/residency';

/** Promises when models are ready, and reports how the promises were kept. */
export class LoadPromiseRecorder {
  private readonly forecasts = LoadForecasts.create();

  private readonly promises = LoadPromises.create();

  private constructor(private readonly telemetry: Telemetry) {}

  static create(telemetry: Telemetry): LoadPromiseRecorder {
    return new LoadPromiseRecorder(telemetry);
  }

  /** What to tell a request; undefined if its model is not in the configuration. */
  promise(input: PlanInput, need: NeededReplica, now: number): LoadPromise | undefined {
    const estimate = estimateReady(input, need, now, this.forecasts);
    if (estimate === undefined) return undefined;
    this.promises.record(input.service, need.model, estimate, now);
    return this.promises.promise(estimate);
  }

  /** Reports the promises of models that are ready now, or that no request waits for any more. */
  settle(input: PlanInput, now: number): void {
    this.promises.settle(input, now).forEach((settled) => {
      const { model, source, promisedMs, actualMs, ratio, isReady } = settled;
      this.telemetry.observe('currantdrift_load_promise_ratio', ratio, { source });
      this.telemetry.log('load.promise', {
        service: input.service,
        model,
        source,
        promisedMs: Math.round(promisedMs),
        actualMs: Math.round(actualMs),
        outcome: isReady ? 'ready' : 'unused',
      });
    });
  }
}
