import { type Clock, rendezvousOrder, type Waker } from '@currantdrift/core';
import type { Membership } from '@currantdrift/membership';
import type { Controller } from '@currantdrift/placement';
import { type MemberState, rolesOf } from './member-state';

export interface ControllerTaskOptions {
  readonly membership: Membership;
  readonly state: MemberState;
  readonly clock: Clock;
  /** Makes a controller that contends for the domain; undefined while it cannot be made. */
  readonly create: () => Controller | undefined;
}

/**
 * Daemons of a domain that contend for its lease. Each waits on the lease with a watch, which the
 * store counts as a call, so their number must not grow with the domain.
 */
const candidateCount = 2;

/** Time between two looks at the members, in ms. */
const periodMs = 500;

/** Runs a controller while this daemon is a candidate, and tells the domain who holds it. */
export class ControllerTask {
  private current: Controller | undefined;

  private running: Promise<void> | undefined;

  private constructor(private readonly options: ControllerTaskOptions) {}

  static create(options: ControllerTaskOptions): ControllerTask {
    return new ControllerTask(options);
  }

  /** The controller of this process, if it contends for the domain. */
  get controller(): Controller | undefined {
    return this.current;
  }

  /** The controller of the domain: in this process, at a peer address, or not known. */
  holder(): Waker | string | undefined {
    if (this.current?.isHolder) return this.current;
    const { membership } = this.options;
    const [best] = membership
      .members()
      .filter((member) => rolesOf(member).epoch > 0 && member.name !== membership.self.name)
      .sort((a, b) => rolesOf(b).epoch - rolesOf(a).epoch);
    return best?.address;
  }

  /** Name of the member that holds the domain. */
  holderName(): string | undefined {
    const { membership } = this.options;
    if (this.current?.isHolder) return membership.self.name;
    const holder = this.holder();
    return membership.members().find(({ address }) => address === holder)?.name;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      await this.tend();
      await clock.sleep(periodMs, signal);
    }
    await this.stop();
  }

  /** Hands the domain over. */
  async stop(): Promise<void> {
    const { current } = this;
    if (current === undefined) return;
    await current.stop();
    this.current = undefined;
    this.announce();
  }

  private async tend(): Promise<void> {
    if (this.isCandidate()) {
      this.current ??= this.options.create();
      this.running ??= this.current?.run().then(() => {
        this.running = undefined;
      });
    } else if (this.current !== undefined && !this.current.isHolder) {
      await this.stop();
    }
    this.announce();
  }

  private announce(): void {
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
