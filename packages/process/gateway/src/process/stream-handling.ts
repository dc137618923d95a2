import type { Clock, Message, Peers, PrefixStore, Random, Telemetry } from '@currantdrift/core';
import type { EndpointDirectory } from '@currantdrift/fleet';
import type { Configuration } from '@currantdrift/routes';
import type { Member, Members } from '../version/members';
import { SoftwareVersions } from '../version/software-versions';
import { StoredStreams } from '../version/stored-streams';
import { StreamLedger } from './stream-ledger';

/** Time by which the tries of a client may outlast the time limit of its route, in ms. */
const lifetimeSlackMs = 5_000;

/** Lifetime of streams while no configuration is known, in ms. */
const defaultLifetimeMs = 60_000;

export interface StreamHandlingOptions {
  readonly store: PrefixStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly directory: EndpointDirectory;
  readonly self: Member;
  readonly members: Members;
  readonly peers: Peers;
  readonly send: (address: string, message: Message) => void;
  readonly configuration: () => Configuration | undefined;
  /** The time of day, in ms. */
  readonly timeOfDay: () => number;
  /** Highest age of what a process knows of the store, whichever other processes fail, in ms. */
  readonly maxRecordAgeMs: number;
  /** Time since the daemons' entries in the store were last confirmed to be the newest, in ms. */
  readonly recordAgeMs: (now: number) => number;
}

/** Longest time from the begin of a stream to the end of the last try of its client, in ms. */
const streamLifetimeOf = (configuration: Configuration | undefined): number => {
  const limits = configuration?.routes
    .filter(({ resumable }) => resumable)
    .map(({ timeoutMs }) => timeoutMs);
  if (limits === undefined) return defaultLifetimeMs;
  return Math.max(0, ...limits) + lifetimeSlackMs;
};

/** The components of a process that keep streams at the software version that began them. */
export class StreamHandling {
  readonly versions: SoftwareVersions;

  readonly ledger: StreamLedger;

  private readonly stored: StoredStreams;

  private constructor(options: StreamHandlingOptions) {
    const { members, configuration } = options;
    const streamLifetimeMs = () => streamLifetimeOf(configuration());
    this.stored = StoredStreams.create({
      ...options,
      host: options.self.host,
      members: () => members.all().length,
      streamLifetimeMs,
    });
    this.ledger = StreamLedger.create({
      ...options,
      stored: this.stored,
      versions: () => this.versions,
      streamLifetimeMs,
    });
    this.versions = SoftwareVersions.create({
      ...options,
      members: () => members.all().length,
      streamLifetimeMs,
      onMixed: (service) => this.ledger.announceAll(service),
    });
  }

  static create(options: StreamHandlingOptions): StreamHandling {
    return new StreamHandling(options);
  }

  /** Keeps versions and streams in the store until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.versions.run(signal), this.stored.run(signal)]);
  }
}
