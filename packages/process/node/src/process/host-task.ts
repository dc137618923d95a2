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
  /** Peer addresses from the settings. */
  readonly seeds: readonly string[];
}

/** Time between two reads of the host list, in ms; half of it is random. */
const periodMs = 2_000;

/** Keeps the last answer of the platform's host list. */
export class HostTask {
  private known: readonly Host[] = [];

  private engines = 0;

  private constructor(private readonly options: HostTaskOptions) {}

  static create(options: HostTaskOptions): HostTask {
    return new HostTask(options);
  }

  /** The host list as last read. */
  get hosts(): readonly Host[] {
    return this.known;
  }

  /** Number of engines of all domains as last read. */
  get allEngines(): number {
    return this.engines;
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
    const read = await this.readList();
    if (read.isErr()) {
      const message = describeFailure(read.error);
      this.options.telemetry.log('host list not read', { message });
      return;
    }
    this.known = read.value.hosts;
    this.engines = read.value.engines;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    while (!signal.aborted) {
      await clock.sleep(periodMs * (0.75 + random.next() / 2), signal);
      if (!signal.aborted) await this.read();
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
    return this.known.filter(({ kind }) => kind === HostKind.daemon);
  }
}
