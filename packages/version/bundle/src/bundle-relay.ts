import type { Clock, Failure, Random, Store, Telemetry } from '@currantdrift/core';
import { backoffMs } from './backoff';
import type { BundleReader } from './bundle-reader';
import type { Rejection } from './rejection';
import { headKey } from './stored-values';

/** Timeout of one watch of the head, in ms. */
const watchMs = 2_500;

export interface BundleRelayOptions {
  readonly store: Store;
  readonly reader: BundleReader;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  /** Called after each response of the store, with the time in ms since the epoch. */
  readonly onStoreResponse?: (now: number) => void;
}

/** Watches the head in the store and loads new versions; two daemons of each domain run this task. */
export class BundleRelay {
  private constructor(private readonly options: BundleRelayOptions) {}

  static create(options: BundleRelayOptions): BundleRelay {
    return new BundleRelay(options);
  }

  /** Runs until `signal` aborts. Follows the head while the store responds, and backs off otherwise. */
  async run(signal: AbortSignal): Promise<void> {
    const { store, reader, clock, random } = this.options;
    let revision = 0;
    let failures = 0;
    while (!signal.aborted) {
      const entry = await store.watch(headKey, revision, watchMs, signal);
      if (signal.aborted) return;
      const loaded = entry.isOk() ? await reader.loadHead(entry.value) : entry;
      if (loaded.isOk()) {
        failures = 0;
        // After a failed load the old revision is kept, so that the head is read again.
        if (entry.isOk()) revision = entry.value?.revision ?? 0;
        this.options.onStoreResponse?.(clock.now());
      } else {
        failures += 1;
        this.report(loaded.error);
        await clock.sleep(backoffMs(failures, random), signal);
      }
    }
  }

  private report({ kind, step, peer, message }: Failure | Rejection): void {
    this.options.telemetry.log('bundle.relay_failed', { kind, step, peer, message });
  }
}
