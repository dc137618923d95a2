import { RetryBudget } from '@currantdrift/attempt';
import type { GatewaySettings } from './gateway-settings';

/** Part of the shared retry budget that may be used at once. */
const burstShare = 0.4;

/** Part of the shared retry budget that is granted over a window. */
const refillShare = 0.4;

/** Ratio by which the number of members may change before the parts are dealt out anew. */
const resizeRatio = 1.25;

/** This process's part of each service's retry budget. */
export class RetryBudgets {
  private readonly budgets = new Map<string, { budget: RetryBudget; members: number }>();

  private constructor(
    private readonly settings: GatewaySettings,
    private readonly memberCount: () => number,
  ) {}

  /** `memberCount` is the number of processes that share the budgets. */
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
      // Below one, what successes earn could never be used.
      max: Math.max(1, minRetries),
      minRetriesPerSecond: (memberSlack * refillShare) / (retryWindowMs / 1000),
    });
  }
}
