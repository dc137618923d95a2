import {
  type Change,
  type Clock,
  decodeJson,
  describeFailure,
  digest,
  type Entry,
  type PrefixStore,
  type Random,
  type Telemetry,
} from '@currantdrift/core';
import type { EndpointDirectory } from '@currantdrift/fleet';
import { z } from 'zod';
import type { EntryListener } from '../process/prefix-follower';
import { daemonPrefix } from './members';

export const softwarePrefix = `${daemonPrefix}software/`;

/** Interval between looks at the endpoints and at the entries in the store, in ms. */
const checkIntervalMs = 250;

/** Largest random delay before a member changes an entry, per member, in ms. */
const spreadPerMemberMs = 10;

/** Pause between attempts to change an entry, in ms. */
const retryMs = 1_000;

/** Age of the known endpoints from which another version may have come unseen, in ms. */
const maxEndpointAgeMs = 2_000;

const maxTextLength = 200;

const entrySchema = z.object({
  service: z.string().max(maxTextLength),
  softwareVersion: z.string().max(maxTextLength),
});
type ServiceVersion = z.infer<typeof entrySchema>;

const keyOf = ({ service, softwareVersion }: ServiceVersion): string =>
  `${softwarePrefix}${digest(service, softwareVersion)}`;

export interface SoftwareVersionsOptions {
  readonly store: PrefixStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly directory: EndpointDirectory;
  readonly members: () => number;
  /** Longest time from the begin of a stream to its end, over all tries of its client, in ms. */
  readonly streamLifetimeMs: () => number;
  /** Time since the known endpoints were last confirmed to be all, in ms. */
  readonly endpointAgeMs: (now: number) => number;
  /** Called when a second version appears in a service. */
  readonly onMixed: (service: string) => void;
}

/**
 * The software versions of each service's endpoints that may have begun a stream which has not ended. While
 * a service has several of them the store keeps their names, for processes that start later.
 */
export class SoftwareVersions implements EntryListener {
  /** Time at which an endpoint of a version was last known, by service and version. */
  private readonly seenAt = new Map<string, Map<string, number>>();

  /** Entries in the store, with their revisions. */
  private readonly stored = new Map<string, ServiceVersion & { readonly revision: number }>();

  /** Time from which this process may change an entry, by key. */
  private readonly dueAt = new Map<string, number>();

  private isListed = false;

  private constructor(private readonly options: SoftwareVersionsOptions) {}

  static create(options: SoftwareVersionsOptions): SoftwareVersions {
    return new SoftwareVersions(options);
  }

  /** Records that an endpoint of the version serves, or has served until now. */
  note(service: string, softwareVersion: string, now: number): void {
    const versions = this.seenAt.get(service) ?? new Map<string, number>();
    this.seenAt.set(service, versions);
    const isNew = !versions.has(softwareVersion);
    versions.set(softwareVersion, now);
    if (!isNew || versions.size <= 1) return;
    const { telemetry, onMixed } = this.options;
    telemetry.log('software.mixed', { service, versions: [...versions.keys()].join(' ') });
    onMixed(service);
  }

  /** Whether streams of several versions may go on in a service. */
  isMixed(service: string): boolean {
    return (this.seenAt.get(service)?.size ?? 0) > 1;
  }

  /** The version of all streams of a service; undefined if there are several, or that is not certain. */
  only(service: string, now: number): string | undefined {
    this.observe(now);
    const versions = [...(this.seenAt.get(service)?.keys() ?? [])];
    const isCertain = this.isListed && this.options.endpointAgeMs(now) < maxEndpointAgeMs;
    return isCertain && versions.length === 1 ? versions[0] : undefined;
  }

  onListing(entries: readonly Entry[]): void {
    this.stored.clear();
    this.isListed = true;
    entries.forEach((entry) => this.put(entry));
  }

  onChange(change: Change): void {
    if (change.kind === 'put') this.put(change.entry);
    else this.stored.delete(change.key);
  }

  /** Follows the endpoints and keeps the entries in the store until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      this.observe(clock.now());
      await this.updateStore();
      await clock.sleep(checkIntervalMs, signal);
    }
  }

  private observe(now: number): void {
    const { directory, streamLifetimeMs } = this.options;
    directory
      .all()
      .forEach(({ service, softwareVersion }) => this.note(service, softwareVersion, now));
    const forgottenBefore = now - streamLifetimeMs();
    this.seenAt.forEach((versions) =>
      versions.forEach((at, version) => {
        if (at < forgottenBefore) versions.delete(version);
      }),
    );
  }

  private put({ key, value, revision }: Entry): void {
    if (!key.startsWith(softwarePrefix)) return;
    const { clock, telemetry } = this.options;
    const found = decodeJson(entrySchema, value).unwrapOr(undefined);
    if (found === undefined) {
      telemetry.count('currantdrift_malformed_entries_total', { kind: 'software' });
      telemetry.log('software.malformed', { key, revision });
      return;
    }
    this.stored.set(key, { ...found, revision });
    this.note(found.service, found.softwareVersion, clock.now());
  }

  private async updateStore(): Promise<void> {
    for (const version of this.missing()) if (this.isDue(version)) await this.write(version);
    for (const version of this.obsolete()) if (this.isDue(version)) await this.remove(version);
  }

  /** Versions of mixed services that the store lacks. */
  private missing(): ServiceVersion[] {
    return [...this.seenAt]
      .filter(([service]) => this.isMixed(service))
      .flatMap(([service, versions]) =>
        [...versions.keys()].map((softwareVersion) => ({ service, softwareVersion })),
      )
      .filter((version) => !this.stored.has(keyOf(version)));
  }

  /** Entries of services in which streams of one version are left. */
  private obsolete(): ServiceVersion[] {
    return [...this.stored.values()].filter(({ service }) => !this.isMixed(service));
  }

  private isDue(version: ServiceVersion): boolean {
    const { clock, random, members } = this.options;
    const key = keyOf(version);
    const now = clock.now();
    const dueAt = this.dueAt.get(key) ?? now + random.next() * spreadPerMemberMs * members();
    this.dueAt.set(key, dueAt);
    return dueAt <= now;
  }

  private async write({ service, softwareVersion }: ServiceVersion): Promise<void> {
    const key = keyOf({ service, softwareVersion });
    const value = Buffer.from(JSON.stringify({ service, softwareVersion }));
    const written = await this.change(key, 0, value);
    if (written !== undefined)
      this.stored.set(key, { service, softwareVersion, revision: written });
  }

  private async remove(version: ServiceVersion): Promise<void> {
    const key = keyOf(version);
    const known = this.stored.get(key);
    if (known === undefined) return;
    await this.change(key, known.revision, undefined);
    this.stored.delete(key);
  }

  /** Writes or removes an entry; returns its revision afterwards, undefined if that is not known. */
  private async change(
    key: string,
    expected: number,
    value: Uint8Array | undefined,
  ): Promise<number | undefined> {
    const { clock, store, telemetry } = this.options;
    const changed = await store.compareAndSwap(key, expected, value);
    if (changed.isErr()) {
      this.dueAt.set(key, clock.now() + retryMs);
      telemetry.log('software.store_failed', { key, reason: describeFailure(changed.error) });
      return undefined;
    }
    this.dueAt.delete(key);
    const { value: result } = changed;
    return result.kind === 'swapped' ? result.revision : result.current?.revision;
  }
}
