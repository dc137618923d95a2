import { type Clock, rendezvousOrder, type Waker } from '@currantdrift/core';
import type { Membership } from '@currantdrift/membership';
import type { Controller } from '@currantdrift/placement';
import { type MemberState, rolesOf } from './member-state';

export interface ControllerTaskOptions {
  readonly membership: Membership;
  readonly state: MemberState;
  readonly clock: Clock;
  /**
   * Creates a controller that competes for the domain's lease; undefined if it cannot be created
   * yet.
   */
  readonly create: () => Controller | undefined;
}

/**
 * Number of daemons of a domain that compete for its lease. Each keeps a watch on the lease, which
 * the store counts as a call, so the number must not grow with the size of the domain.
 */
const candidateCount = 2;

/** Interval between checks of the member list, in ms. */
const periodMs = 500;

/**
 * Runs a controller while this daemon is a candidate, and publishes in the member state whether it
 * holds the domain's lease.
 */
export class ControllerTask {
  private current: Controller | undefined;

  private running: Promise<void> | undefined;

  private constructor(private readonly options: ControllerTaskOptions) {}

  static create(options: ControllerTaskOptions): ControllerTask {
    return new ControllerTask(options);
  }

  /** The controller in this process, if this daemon competes for the domain's lease. */
  get controller(): Controller | undefined {
    return this.current;
  }

  /**
   * The domain's controller: an object in this process, a peer's address, or undefined if unknown.
   */
  holder(): Waker | string | undefined {
    if (this.current?.isHolder) return this.current;
    const { membership } = this.options;
    const [best] = membership
      .members()
      .filter((member) => rolesOf(member).epoch > 0 && member.name !== membership.self.name)
      .sort((a, b) => rolesOf(b).epoch - rolesOf(a).epoch);
    return best?.address;
  }

  /** Epoch of this process's term, while no other process can hold the domain at `now`. */
  soleEpoch(now: number): number | undefined {
    return this.current?.isSoleHolder(now) === true ? this.current.status().epoch : undefined;
  }

  /** Name of the member that is the domain's controller. */
  holderName(): string | undefined {
    const { membership } = this.options;
    if (this.current?.isHolder) return membership.self.name;
    const controller = this.holder();
    return membership.members().find(({ address }) => address === controller)?.name;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      await this.reconcile();
      await clock.sleep(periodMs, signal);
    }
    await this.stop();
  }

  /** Stops the controller and gives up the domain's lease. */
  async stop(): Promise<void> {
    const { current } = this;
    if (current === undefined) return;
    await current.stop();
    this.current = undefined;
    this.publishEpoch();
  }

  private async reconcile(): Promise<void> {
    if (this.isCandidate()) {
      this.current ??= this.options.create();
      this.running ??= this.current?.run().then(() => {
        this.running = undefined;
      });
    } else if (this.current !== undefined && !this.current.isHolder) {
      await this.stop();
    }
    this.publishEpoch();
  }

  private publishEpoch(): void {
    const status = this.current?.status();
    this.options.state.update({ epoch: status?.isHolder === true ? status.epoch : 0 });
  }

  private isCandidate(): boolean {
    const { membership } = this.options;
    const names = membership.alive().map(({ name }) => name);
    const order = rendezvousOrder('controller', names);
    return order.slice(0, candidateCount).includes(membership.self.name);
  }
}
