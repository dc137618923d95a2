import { RetryBudget } from '@currantdrift/attempt';
import type { GatewaySettings } from './gateway-settings';

/** Share of the fleet-wide retry slack that may be used in one burst. */
const burstShare = 0.4;

/** Share of the fleet-wide retry budget that is refilled over a window. */
const refillShare = 0.4;

/** Change in the number of members, as a ratio, above which the budgets are resized. */
const resizeRatio = 1.25;

/** Creates this process's share of the retry budget of each service. */
export class RetryBudgets {
  private readonly budgets = new Map<string, { budget: RetryBudget; members: number }>();

  private constructor(
    private readonly settings: GatewaySettings,
    private readonly memberCount: () => number,
  ) {}

  /** `memberCount` returns the number of processes that share the budgets. */
  static create(settings: GatewaySettings, memberCount: () => number): RetryBudgets {
    return new RetryBudgets(settings, memberCount);
  }

  of(service: string): RetryBudget {
    const members = Math.max(1, this.memberCount());
    const found = this.budgets.get(service);
    const isReusable =
      found !== undefined &&
      members <= found.members * resizeRatio &&
      found.members <= members * resizeRatio;
    if (isReusable) return found.budget;
    const budget = this.createShare(members);
    this.budgets.set(service, { budget, members });
    return budget;
  }

  private createShare(members: number): RetryBudget {
    const { retryShare, retrySlack, retryWindowMs } = this.settings;
    const memberSlack = retrySlack / members;
    const minRetries = memberSlack * burstShare;
    return RetryBudget.create({
      retryRatio: retryShare * refillShare,
      minRetries,
      // With a maximum below one, the credit that successes earn could never be used.
      max: Math.max(1, minRetries),
      minRetriesPerSecond: (memberSlack * refillShare) / (retryWindowMs / 1000),
    });
  }
}
