import type { Clock } from '@currantdrift/core';
import type { EndpointLimits } from '@currantdrift/fleet';
import type { ModelUsage } from '@currantdrift/forward';
import { PeerMessageKind, type UsageMessage } from '../connection/peer-messages';
import type { Member, Members } from '../version/members';
import type { Controller } from './controller';

/** Shortest interval between reports, in ms. */
const minIntervalMs = 250;

/** Limit on the reports that the controller receives per second from all members. */
const reportsPerSecond = 200;

export interface UsageReporterOptions {
  readonly clock: Clock;
  readonly self: Member;
  readonly members: Members;
  readonly usage: ModelUsage;
  /** The request limits that endpoints have stated. */
  readonly limits: EndpointLimits;
  /** Relays also report while idle, so that the controller knows which relays are reachable. */
  readonly isRelay: () => boolean;
  /** The controller in this process, or undefined if it runs elsewhere. */
  readonly localController: () => Controller | undefined;
  readonly send: (address: string, message: UsageMessage) => void;
}

/** Periodically reports model usage to the controller; members other than relays do not while idle. */
export class UsageReporter {
  private wasIdle = true;

  private constructor(private readonly options: UsageReporterOptions) {}

  static create(options: UsageReporterOptions): UsageReporter {
    return new UsageReporter(options);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      await clock.sleep(this.pauseMs(), signal);
      this.report();
    }
  }

  private pauseMs(): number {
    const count = this.options.members.all().length;
    return Math.max(minIntervalMs, (count * 1000) / reportsPerSecond);
  }

  private report(): void {
    const { clock, self, members, usage, limits, localController, send } = this.options;
    const { uses, flights } = usage.takeReport();
    const stated = limits.takeUnreported(clock.now());
    const isIdle = uses.length + flights.length + stated.length === 0;
    if (isIdle && this.wasIdle && !this.options.isRelay()) return;
    this.wasIdle = isIdle;
    const message = {
      kind: PeerMessageKind.usage,
      host: self.host,
      uses: [...uses],
      flights: [...flights],
      limits: stated,
    };
    const controller = localController();
    if (controller !== undefined) controller.recordUsage(message);
    else if (members.controller !== undefined && members.controller.host !== self.host) {
      send(members.controller.address, message);
    }
  }
}
