import type { Clock } from '@currantdrift/core';

/**
 * Time after the readiness check begins to fail for which new requests are still accepted, in ms. By
 * then the load balancer has noticed, and a stream that begins later might outlast the grace period.
 */
const acceptAfterStopMs = 3_000;

/** Margin before the end of the grace period at which the process exits, in ms. */
const exitMarginMs = 400;

const pollMs = 100;

export interface GracefulStopOptions {
  readonly clock: Clock;
  /** Time from the signal to the forced end of the process, in ms. */
  readonly graceMs: number;
  /** Called once new requests are no longer accepted, and again at each check after that. */
  readonly stopAccepting: () => void;
  /** Number of open connections of clients. */
  readonly connections: () => Promise<number>;
}

/** Serves on until all clients have left; returns within the grace period. */
export const awaitClients = async ({
  clock,
  graceMs,
  stopAccepting,
  connections,
}: GracefulStopOptions): Promise<void> => {
  const startedAt = clock.now();
  const endsAt = startedAt + graceMs - exitMarginMs;
  while (clock.now() < endsAt) {
    if (clock.now() - startedAt >= acceptAfterStopMs) {
      stopAccepting();
      if ((await connections()) === 0) return;
    }
    await clock.sleep(pollMs);
  }
};
