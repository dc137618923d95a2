import type { Clock } from '@currantdrift/core';
import type { Membership } from '@currantdrift/membership';
import { type MemberState, storeEraOf } from './member-state';
import type { RestoreTracker } from './restore-tracker';

export interface RestoreTaskOptions {
  readonly tracker: RestoreTracker;
  readonly membership: Membership;
  readonly state: MemberState;
  readonly clock: Clock;
}

/** Interval between exchanges with the member states, in ms. */
const periodMs = 500;

/**
 * Tells the domain of the store's era and learns it from the other members, since only the relays of a
 * domain ask the store all the time.
 */
export class RestoreTask {
  private constructor(private readonly options: RestoreTaskOptions) {}

  static create(options: RestoreTaskOptions): RestoreTask {
    return new RestoreTask(options);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      this.exchange(clock.now());
      await clock.sleep(periodMs, signal);
    }
  }

  private exchange(now: number): void {
    const { tracker, membership, state } = this.options;
    membership
      .alive()
      .flatMap((member) => storeEraOf(member) ?? [])
      .forEach((known) => tracker.observeMember(known, now));
    const { current } = tracker;
    if (current !== undefined && current.era > 0) state.update({ storeEra: current });
  }
}
