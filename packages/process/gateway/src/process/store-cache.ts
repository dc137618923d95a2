import { type Clock, type PrefixStore, SystemRandom, type Telemetry } from '@currantdrift/core';
import type { EndpointDirectory } from '@currantdrift/fleet';
import type { PeerConnections } from '@currantdrift/peer';
import type { Configuration } from '@currantdrift/routes';
import {
  encodeFeed,
  encodeListing,
  feedSchema,
  parseMessage,
  PeerMessageKind,
  snapshotResponseSchema,
  snapshotSchema,
} from '../connection/peer-messages';
import type { PeerInbox } from '../connection/peer-inbox';
import { type ConfigurationDecoder, ConfigurationHolder } from '../version/configuration-holder';
import {
  type EndpointDecoder,
  EndpointDirectoryUpdater,
} from '../version/endpoint-directory-updater';
import { freshnessLimits } from '../version/freshness';
import { type Member, Members, daemonPrefix } from '../version/members';
import type { AgedListing, EntryListener } from './feed';
import { PrefixFollower } from './prefix-follower';
import { StoreFeed } from './store-feed';

/** Pause between waits for changes, in ms; changes in between arrive together. */
const waitIntervalMs = 250;

/** Timeout of a request to another member for all entries below a prefix, in ms. */
const snapshotTimeoutMs = 2_000;

/** Keys and decoders of the entries in the platform's store. */
export interface StoreLayout {
  readonly store: PrefixStore;
  /** Prefix and key of the configuration entry, and its decoder. */
  readonly configurationPrefix: string;
  readonly configurationKey: string;
  readonly decodeConfiguration: ConfigurationDecoder;
  /** Prefix of the endpoint entries, and their decoder. */
  readonly endpointPrefix: string;
  readonly decodeEndpoint: EndpointDecoder;
}

export interface StoreCacheOptions {
  readonly layout: StoreLayout;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly self: Member;
  /** Time within which a change in the store must take effect, in ms. */
  readonly propagationLimitMs: number;
  readonly peers: PeerConnections;
  /** Updated with the endpoints. */
  readonly directory: EndpointDirectory;
  readonly onConfiguration: (configuration: Configuration) => void;
  /** Receives all entries that the daemons write, besides the members. */
  readonly daemonEntries: () => readonly EntryListener[];
}

/**
 * Caches the platform's store in this process: configuration, endpoints and members. Updates come from
 * the store or from other members, and are forwarded to other members.
 */
export class StoreCache {
  readonly members: Members;

  readonly feed: StoreFeed;

  private readonly holder: ConfigurationHolder;

  private readonly followers: readonly PrefixFollower[];

  private constructor(private readonly options: StoreCacheOptions) {
    const { clock, telemetry, self, propagationLimitMs, layout, onConfiguration } = options;
    const { configurationKey, decodeConfiguration } = layout;
    this.members = Members.create(telemetry, clock);
    this.holder = ConfigurationHolder.create(
      configurationKey,
      decodeConfiguration,
      telemetry,
      onConfiguration,
    );
    this.feed = StoreFeed.create({
      clock,
      random: SystemRandom.create(),
      telemetry,
      self,
      members: this.members,
      limits: freshnessLimits(propagationLimitMs),
      send: (address, message) => options.peers.notify(address, encodeFeed(message)),
      requestEntries: (address, prefix) => this.requestEntries(address, prefix),
    });
    this.followers = this.createFollowers();
  }

  static create(options: StoreCacheOptions): StoreCache {
    return new StoreCache(options);
  }

  /** The newest configuration; undefined before the first one is known. */
  get configuration(): Configuration | undefined {
    return this.holder.configuration;
  }

  /** Time since the configuration was last confirmed to be the newest, in ms. */
  configurationAgeMs(now: number): number {
    return this.feed.ageOf(this.options.layout.configurationPrefix, now);
  }

  /** Time since the daemons' entries were last confirmed to be the newest, in ms. */
  daemonEntriesAgeMs(now: number): number {
    return this.feed.ageOf(daemonPrefix, now);
  }

  /** Registers the handlers for feed messages and snapshot requests of other members. */
  registerHandlers(inbox: PeerInbox): void {
    inbox.onRequest(PeerMessageKind.snapshot, snapshotSchema, ({ prefix }) => {
      const listing = this.feed.entriesFor(prefix);
      return listing && encodeListing(listing);
    });
    inbox.onNotification(PeerMessageKind.feed, feedSchema, (message) => this.feed.receive(message));
  }

  /** Keeps the cache current and sends feed messages until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const tasks = this.followers.map((follower) => follower.run(signal));
    await Promise.all([...tasks, this.feed.run(signal)]);
  }

  private createFollowers(): readonly PrefixFollower[] {
    const { layout, clock, telemetry, directory, propagationLimitMs } = this.options;
    const { store, configurationPrefix, endpointPrefix, decodeEndpoint } = layout;
    const { feed } = this;
    const common = {
      store,
      clock,
      random: SystemRandom.create(),
      telemetry,
      feed,
      pauseMs: waitIntervalMs,
      limits: freshnessLimits(propagationLimitMs),
    };
    const endpoints = EndpointDirectoryUpdater.create(
      endpointPrefix,
      decodeEndpoint,
      directory,
      telemetry,
      clock,
    );
    return [
      { prefix: configurationPrefix, listener: this.holder, startsFromFeed: true },
      // The member entries determine the watchers, so they are read from the store itself.
      { prefix: daemonPrefix, listener: this.daemonListener(), startsFromFeed: false },
      {
        prefix: endpointPrefix,
        listener: endpoints,
        startsFromFeed: true,
        onStoreRecovery: (now: number) => endpoints.storeRecovered(now),
        onStoreRestored: (revision: number, now: number) => endpoints.storeRestored(revision, now),
      },
    ].map((each) => {
      const follower = PrefixFollower.create({ ...common, ...each });
      feed.attach(each.prefix, follower);
      return follower;
    });
  }

  private daemonListener(): EntryListener {
    const listeners = () => [this.members, ...this.options.daemonEntries()];
    return {
      onListing: (entries) => listeners().forEach((listener) => listener.onListing(entries)),
      onChange: (change) => listeners().forEach((listener) => listener.onChange(change)),
    };
  }

  private async requestEntries(address: string, prefix: string): Promise<AgedListing | undefined> {
    const message = { kind: PeerMessageKind.snapshot, prefix };
    const response = await this.options.peers.request(address, message, snapshotTimeoutMs);
    if (response.isErr()) return undefined;
    const parsed = parseMessage(snapshotResponseSchema, response.value);
    return parsed?.kind === 'listing' ? parsed : undefined;
  }
}
