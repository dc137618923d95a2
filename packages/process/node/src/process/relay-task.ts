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

/** Interval between updates of the relay role, in ms. */
const periodMs = 500;

/**
 * Age of the store's last answer about the bundle head beyond which a daemon no longer counts as a
 * relay, in ms: the time of a watch and a call.
 */
const answerMaxAgeMs = 4_000;

/** Watches the bundle head in the store while this daemon is a relay of its domain. */
export class RelayTask {
  private watchAbort: AbortController | undefined;

  private lastAnswerAt = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: RelayTaskOptions) {}

  static create(options: RelayTaskOptions): RelayTask {
    return new RelayTask(options);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, holder } = this.options;
    const unsubscribe = holder.subscribe(() => this.announceVersion());
    while (!signal.aborted) {
      this.update(clock.now());
      await clock.sleep(periodMs, signal);
    }
    unsubscribe();
    this.stop();
  }

  private update(now: number): void {
    const { exchange, links, membership, state } = this.options;
    const isRelay = links.isRelay();
    if (isRelay) this.start();
    else this.stop();
    state.update({ relays: isRelay && now - this.lastAnswerAt < answerMaxAgeMs });
    // Gossip reaches a member only at intervals, so contact is inferred from live relays in the
    // member list.
    if (membership.alive().some((member) => rolesOf(member).relays))
      exchange.recordRelayContact(now);
  }

  private start(): void {
    if (this.watchAbort !== undefined) return;
    const { clock, random, reader, store, telemetry } = this.options;
    this.watchAbort = new AbortController();
    const onAnswer = (now: number) => {
      this.lastAnswerAt = now;
    };
    BundleRelay.create({ store, reader, clock, random, telemetry, onStoreResponse: onAnswer })
      .run(this.watchAbort.signal)
      .catch((error: unknown) => {
        telemetry.log('task failed', { task: 'bundle relay', message: String(error) });
      });
  }

  private stop(): void {
    this.watchAbort?.abort();
    this.watchAbort = undefined;
    this.lastAnswerAt = Number.NEGATIVE_INFINITY;
  }

  /** Announces a new bundle version to all members of the domain at once. */
  private announceVersion(): void {
    const { exchange, links, membership } = this.options;
    if (!links.isRelay()) return;
    const others = membership.members().filter(({ name }) => name !== membership.self.name);
    exchange.announce(others.map(({ address }) => address));
  }
}
