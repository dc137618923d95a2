import { SeededRandom } from '@currantdrift/core';
import type { Quota } from '@currantdrift/routes';
import { bounds, type Fleet } from './fleet';

/** A request and what became of it. */
interface Request {
  readonly at: number;
  readonly customer: string;
  readonly cost: number;
  outcome: 'used' | 'exceeded' | 'unreachable';
}

export interface LoadOptions {
  readonly seconds: number;
  /** Share of its quota that a customer asks for at a time, in s. */
  readonly share: (customer: string, second: number) => number;
  /** Called before the requests of each second. */
  readonly onSecond?: (second: number) => void;
  /** Whether a request that has its tokens is refused for another reason and refunds them. */
  readonly isUnsent?: (second: number) => boolean;
}

/** Prompt and answer tokens of a request. */
const costs = [800, 1_100, 2_200];

/** Requests of customers at random members, with exponential times between them. */
export class Load {
  readonly requests: Request[] = [];

  private readonly random = SeededRandom.create(7);

  private constructor(private readonly fleet: Fleet) {}

  static async run(fleet: Fleet, options: LoadOptions): Promise<Load> {
    const load = new Load(fleet);
    for (let second = 0; second < options.seconds; second += 1) {
      options.onSecond?.(second);
      await load.runSecond(options, second);
    }
    await fleet.clock.advance(2_000);
    return load;
  }

  /** Tokens of a customer's requests with an outcome that arrived within seconds of the load. */
  tokens(customer: string, outcome?: Request['outcome']): number {
    return this.requests
      .filter((one) => one.customer === customer && (outcome ?? one.outcome) === one.outcome)
      .reduce((sum, { cost }) => sum + cost, 0);
  }

  /** Highest use in a window, as a share of what the bounds allow. */
  peakShare(customer: string): number {
    const { ratePerS, burst } = this.fleet.quotas.get(customer) as Quota;
    const windowS = bounds.windowMs / 1_000;
    const allowed = (ratePerS * windowS + burst) * (1 + bounds.excess) + bounds.slack;
    const used = this.requests.filter((one) => one.customer === customer && one.outcome === 'used');
    const sums = used.map(({ at }) =>
      used
        .filter((one) => one.at >= at && one.at < at + bounds.windowMs)
        .reduce((sum, { cost }) => sum + cost, 0),
    );
    return Math.max(0, ...sums) / allowed;
  }

  private async runSecond({ share, isUnsent }: LoadOptions, second: number): Promise<void> {
    const { clock, quotas } = this.fleet;
    const end = clock.now() + 1_000;
    const arrivals = [...quotas].flatMap(([customer, { ratePerS }]) =>
      this.arrivals(customer, ratePerS * share(customer, second), clock.now(), end),
    );
    arrivals.sort((one, other) => one.at - other.at);
    for (const { customer, at, cost } of arrivals) {
      await clock.advance(Math.max(0, Math.floor(at) - clock.now()));
      this.send(customer, cost, isUnsent?.(second) ?? false).catch(() => {});
    }
    await clock.advance(end - clock.now());
  }

  private arrivals(customer: string, tokensPerS: number, from: number, end: number) {
    const meanMs = (1_000 * costs.reduce((sum, cost) => sum + cost, 0)) / costs.length / tokensPerS;
    const found: { customer: string; at: number; cost: number }[] = [];
    let at = from;
    for (;;) {
      at -= Math.log(1 - this.random.next()) * meanMs;
      if (at >= end) return found;
      found.push({ customer, at, cost: costs[Math.floor(this.random.next() * costs.length)] });
    }
  }

  private async send(customer: string, cost: number, isUnsent: boolean): Promise<void> {
    const { clock, members, quotas } = this.fleet;
    const running = [...members.values()].filter(({ isFrozen }) => !isFrozen);
    const member = running[Math.floor(this.random.next() * running.length)];
    const taken = await member.leases.take(customer, quotas.get(customer) as Quota, cost);
    if (taken.isOk() && isUnsent) {
      taken.value.refund();
      return;
    }
    const outcome = taken.isOk() ? 'used' : taken.error.kind;
    this.requests.push({ at: clock.now(), customer, cost, outcome });
  }
}
