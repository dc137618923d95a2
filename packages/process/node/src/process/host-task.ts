import {
  type Clock,
  describeFailure,
  type DomainHosts,
  type Failure,
  type Host,
  HostKind,
  type HostList,
  type Random,
  type Telemetry,
} from '@currantdrift/core';
import type { Result } from 'neverthrow';

export interface HostTaskOptions {
  readonly hostList: HostList;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly domain: string;
  /** Peer address of this daemon. */
  readonly address: string;
  /** Peer addresses from the settings, used in addition to the host list. */
  readonly seeds: readonly string[];
}

/**
 * Mean interval between reads of the host list, in ms. Each is scaled at random by 0.75 to 1.25.
 */
const periodMs = 2_000;

/** Polls the platform's host list and keeps the last successful result. */
export class HostTask {
  private lastHosts: readonly Host[] = [];

  private engines = 0;

  private constructor(private readonly options: HostTaskOptions) {}

  static create(options: HostTaskOptions): HostTask {
    return new HostTask(options);
  }

  /** Hosts as of the last successful read. */
  get hosts(): readonly Host[] {
    return this.lastHosts;
  }

  /** Number of engines in all domains as of the last successful read. */
  get totalEngineCount(): number {
    return this.engines;
  }

  /** Peer addresses of the other daemons in this domain, followed by the seeds. */
  contacts(): readonly string[] {
    const { domain, address, seeds } = this.options;
    const listed = this.daemons().filter((host) => host.domain === domain);
    const all = [...listed.map((host) => host.address), ...seeds];
    return [...new Set(all)].filter((contact) => contact !== address);
  }

  /** Daemons of other domains. */
  otherDomainDaemons(): readonly { readonly domain: string; readonly address: string }[] {
    return this.daemons()
      .filter(({ domain }) => domain !== this.options.domain)
      .map(({ domain, address }) => ({ domain, address }));
  }

  async refresh(): Promise<void> {
    const read = await this.readList();
    if (read.isErr()) {
      const message = describeFailure(read.error);
      this.options.telemetry.log('host list not read', { message });
      return;
    }
    this.lastHosts = read.value.hosts;
    this.engines = read.value.engines;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    while (!signal.aborted) {
      await clock.sleep(periodMs * (0.75 + random.next() / 2), signal);
      if (!signal.aborted) await this.refresh();
    }
  }

  private async readList(): Promise<Result<DomainHosts, Failure>> {
    const { domain, hostList } = this.options;
    if (hostList.readDomain !== undefined) return hostList.readDomain(domain);
    const read = await hostList.read();
    return read.map((hosts) => ({
      hosts,
      engines: hosts.filter(({ kind }) => kind === HostKind.engine).length,
    }));
  }

  private daemons(): readonly Host[] {
    return this.lastHosts.filter(({ kind }) => kind === HostKind.daemon);
  }
}
