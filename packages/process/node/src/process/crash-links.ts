import type { Clock, Peers, Random } from '@currantdrift/core';
import type { DomainSummaries } from '@currantdrift/membership';
import { type CrashFact, crashFactSchema } from './crash-facts';

/** Kind of the message that carries a fact to another domain. */
const crashMessage = 'k.facts';

/** Interval between attempts to reach the domains that have not confirmed the last message, in ms. */
const retryMs = 500;

/** Time for which a domain is tried, in ms; later, what it missed no longer decides anything there. */
const maxTryMs = 60_000;

const requestTimeoutMs = 900;

export interface CrashLinksOptions {
  readonly peers: Peers;
  readonly summaries: DomainSummaries;
  readonly clock: Clock;
  readonly random: Random;
  /** Called with the fact of a daemon of another domain. */
  readonly onFact: (fact: CrashFact) => void;
}

/**
 * Sends what this daemon saw of crashed engines to one daemon of each other domain, which publishes it
 * there. Without it a request that crashes engines would crash some in every domain.
 */
export class CrashLinks {
  private newest: { readonly fact: CrashFact; readonly at: number } | undefined;

  /** Domains that have confirmed the newest one. */
  private readonly confirmed = new Set<string>();

  /** Domains to which a message is on its way. */
  private readonly busy = new Set<string>();

  private constructor(private readonly options: CrashLinksOptions) {
    options.peers.onRequest(crashMessage, (message) => {
      const { data: fact } = crashFactSchema.safeParse(message);
      if (fact !== undefined) options.onFact(fact);
      return { kind: crashMessage };
    });
  }

  static create(options: CrashLinksOptions): CrashLinks {
    return new CrashLinks(options);
  }

  /** Sends the fact to all other domains; it replaces the one before. */
  publish(fact: CrashFact): void {
    this.newest = { fact, at: this.options.clock.now() };
    this.confirmed.clear();
    this.sendAll();
  }

  /** Repeats what domains have not confirmed, until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      await clock.sleep(retryMs, signal);
      this.sendAll();
    }
  }

  private sendAll(): void {
    const { clock, summaries } = this.options;
    const { newest } = this;
    if (newest === undefined || clock.now() - newest.at > maxTryMs) return;
    summaries
      .domains()
      .filter((domain) => !this.confirmed.has(domain) && !this.busy.has(domain))
      .forEach((domain) => {
        this.busy.add(domain);
        this.send(domain, newest.fact)
          .catch(() => false)
          .then((isConfirmed) => {
            this.busy.delete(domain);
            if (isConfirmed && this.newest === newest) this.confirmed.add(domain);
          })
          .catch(() => {});
      });
  }

  /** Sends to one daemon of a domain, chosen at random; returns whether it has confirmed. */
  private async send(domain: string, fact: CrashFact): Promise<boolean> {
    const { peers, random, summaries } = this.options;
    const entries = summaries.summary(domain)?.entries ?? [];
    const address = entries[Math.floor(random.next() * entries.length)];
    if (address === undefined) return false;
    const message = { kind: crashMessage, ...fact };
    return (await peers.request(address, message, requestTimeoutMs)).isOk();
  }
}
