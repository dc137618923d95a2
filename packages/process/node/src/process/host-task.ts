import {
  type Clock,
  describeFailure,
  type Host,
  HostKind,
  type HostList,
  type Random,
  type Telemetry,
} from '@currantdrift/core';

export interface HostTaskOptions {
  readonly hostList: HostList;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly domain: string;
  /** Peer address of this daemon. */
  readonly address: string;
  /** Peer addresses from the settings. */
  readonly seeds: readonly string[];
}

/** Time between two reads of the host list, in ms; half of it is random. */
const periodMs = 2_000;

/** Keeps the last answer of the platform's host list. */
export class HostTask {
  private known: readonly Host[] = [];

  private constructor(private readonly options: HostTaskOptions) {}

  static create(options: HostTaskOptions): HostTask {
    return new HostTask(options);
  }

  /** The host list as last read. */
  get hosts(): readonly Host[] {
    return this.known;
  }

  /** Peer addresses of daemons of the own domain, and the seeds. */
  contacts(): readonly string[] {
    const { domain, address, seeds } = this.options;
    const listed = this.daemons().filter((host) => host.domain === domain);
    const all = [...listed.map((host) => host.address), ...seeds];
    return [...new Set(all)].filter((contact) => contact !== address);
  }

  /** Daemons of other domains. */
  others(): readonly { readonly domain: string; readonly address: string }[] {
    return this.daemons()
      .filter(({ domain }) => domain !== this.options.domain)
      .map(({ domain, address }) => ({ domain, address }));
  }

  async read(): Promise<void> {
    const { hostList, telemetry } = this.options;
    const hosts = await hostList.read();
    if (hosts.isOk()) this.known = hosts.value;
    else telemetry.log('host list not read', { message: describeFailure(hosts.error) });
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    while (!signal.aborted) {
      await clock.sleep(periodMs * (0.75 + random.next() / 2), signal);
      if (!signal.aborted) await this.read();
    }
  }

  private daemons(): readonly Host[] {
    return this.known.filter(({ kind }) => kind === HostKind.daemon);
  }
}
