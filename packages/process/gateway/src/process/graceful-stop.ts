import type { Clock, PlannedStop, StopDurations } from '@currantdrift/core';

/**
 * Time after which kept connections are closed, in ms. The load balancer asks once a second whether the
 * process is ready and has missed two answers by then, so clients open new connections elsewhere.
 */
const keepIdleMs = 2_200;

/** Time for which new requests are taken, in ms; a stream that begins later might be cut. */
const acceptMs = 3_000;

/** Margin before the end of the grace period at which the process exits, in ms. */
const exitMarginMs = 400;

/** Longest interval between checks whether all clients have left, in ms. */
const pollMs = 100;

/** `graceMs` is the time from the signal to the forced end of the process. */
export const stopDurations = (graceMs: number): StopDurations => ({
  keepIdleMs,
  acceptMs,
  finishMs: graceMs - exitMarginMs,
});

export interface GracefulStopOptions {
  readonly clock: Clock;
  /** The stop that has begun. */
  readonly stop: PlannedStop;
  /** Closes kept connections without a request; called at each check once clients go elsewhere. */
  readonly closeIdle: () => void;
  /** Called once when new requests are no longer taken. */
  readonly stopAccepting: () => void;
  /** Number of open connections of clients. */
  readonly connections: () => Promise<number>;
}

/** Serves on until all clients have left; returns within the grace period. */
export const awaitClients = async ({
  clock,
  stop,
  closeIdle,
  stopAccepting,
  connections,
}: GracefulStopOptions): Promise<void> => {
  const { closesIdleFrom, acceptsUntil, endsAt } = stop;
  let isAccepting = true;
  for (;;) {
    const now = clock.now();
    if (now >= closesIdleFrom) closeIdle();
    if (now >= acceptsUntil && isAccepting) {
      isAccepting = false;
      stopAccepting();
    }
    if (now >= endsAt || (!isAccepting && (await connections()) === 0)) return;
    const nextAt = isAccepting ? acceptsUntil : endsAt;
    await clock.sleep(Math.min(pollMs, Math.max(1, nextAt - now)));
  }
};
