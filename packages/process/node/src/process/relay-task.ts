import {
  type BundleExchange,
  type BundleHolder,
  type BundleReader,
  BundleRelay,
} from '@currantdrift/bundle';
import type { Clock, Random, Store, Telemetry } from '@currantdrift/core';
import type { DomainLinks, Membership } from '@currantdrift/membership';
import { type MemberState, rolesOf } from './member-state';

export interface RelayTaskOptions {
  readonly store: Store;
  readonly holder: BundleHolder;
  readonly reader: BundleReader;
  readonly exchange: BundleExchange;
  readonly links: DomainLinks;
  readonly membership: Membership;
  readonly state: MemberState;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
}

/** Time between two looks at the relays, in ms. */
const periodMs = 500;

/** Age of the last answer about the head at which a relay no longer counts, in ms: a watch and a call. */
const answerMaxAgeMs = 4_000;

/** Watches the head of the bundles while this daemon is a relay of its domain. */
export class RelayTask {
  private watching: AbortController | undefined;

  private answeredAt = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: RelayTaskOptions) {}

  static create(options: RelayTaskOptions): RelayTask {
    return new RelayTask(options);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, holder } = this.options;
    const unsubscribe = holder.subscribe(() => this.announce());
    while (!signal.aborted) {
      this.tend(clock.now());
      await clock.sleep(periodMs, signal);
    }
    unsubscribe();
    this.stop();
  }

  private tend(now: number): void {
    const { exchange, links, membership, state } = this.options;
    const isRelay = links.isRelay();
    if (isRelay) this.start();
    else this.stop();
    state.update({ relays: isRelay && now - this.answeredAt < answerMaxAgeMs });
    // Gossip reaches a member only now and then; the membership says whether a relay is alive.
    if (membership.alive().some((member) => rolesOf(member).relays))
      exchange.recordRelayContact(now);
  }

  private start(): void {
    if (this.watching !== undefined) return;
    const { clock, random, reader, store, telemetry } = this.options;
    this.watching = new AbortController();
    const onAnswer = (now: number) => {
      this.answeredAt = now;
    };
    BundleRelay.create({ store, reader, clock, random, telemetry, onStoreResponse: onAnswer })
      .run(this.watching.signal)
      .catch((error: unknown) => {
        telemetry.log('task failed', { task: 'bundle relay', message: String(error) });
      });
  }

  private stop(): void {
    this.watching?.abort();
    this.watching = undefined;
    this.answeredAt = Number.NEGATIVE_INFINITY;
  }

  /** Tells every member of the domain of a new version at once. */
  private announce(): void {
    const { exchange, links, membership } = this.options;
    if (!links.isRelay()) return;
    const others = membership.members().filter(({ name }) => name !== membership.self.name);
    exchange.announce(others.map(({ address }) => address));
  }
}
