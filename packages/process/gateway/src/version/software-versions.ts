import {
  type Change,
  type Clock,
  describeFailure,
  type Entry,
  type PrefixStore,
  type Random,
  type Telemetry,
} from '@currantdrift/core';
import type { EndpointDirectory } from '@currantdrift/fleet';
import type { EntryListener } from '../process/feed';
import { SuspensionDetector } from '../process/suspension-detector';
import {
  decodeSoftwareRecord,
  encodeSoftwareRecord,
  type RecordedVersion,
  softwareKeyOf,
  softwarePrefix,
  type SoftwareRecord,
} from './software-record';

/** Interval between looks at the endpoints and at the records in the store, in ms. */
const checkIntervalMs = 250;

/** Largest random delay before a member changes a record, per member, in ms. */
const spreadPerMemberMs = 10;

/** Pause between attempts to change a record, in ms. */
const retryMs = 1_000;

/** Time for which a record names a version longer than any process adds it, in ms. */
const removalMarginMs = 5_000;

/** Margin between the end of the other processes' certainty and the first stream of a new version, in ms. */
const settleMarginMs = 500;

export interface SoftwareVersionsOptions {
  readonly store: PrefixStore;
  readonly clock: Clock;
  readonly random: Random;
  /** The time of day, in ms. */
  readonly timeOfDay: () => number;
  readonly telemetry: Telemetry;
  readonly directory: EndpointDirectory;
  readonly members: () => number;
  /** Longest time from the begin of a stream to its end, over all tries of its client, in ms. */
  readonly streamLifetimeMs: () => number;
  /** Highest age of the records of a process that is in touch with the store or another process, in ms. */
  readonly maxRecordAgeMs: number;
  /** Time since the known records were last confirmed to be the newest, in ms. */
  readonly recordAgeMs: (now: number) => number;
  /** Called when a second version appears in a service. */
  readonly onMixed: (service: string) => void;
}

/** A record in the store, with its revision. */
interface StoredRecord extends SoftwareRecord {
  readonly revision: number;
}

/** What is known of one software version of a service. */
interface KnownVersion {
  /** Time at which this process last knew an endpoint of the version; -Infinity if it never has. */
  seenAt: number;
  /** Time at which the record was first known to name the version; undefined until it does. */
  recordedAt: number | undefined;
  /** Whether streams may begin at the version. */
  isSettled: boolean;
}

/** The one version of a service's record, and the time at which the record was confirmed to name no other. */
interface SingleVersion {
  readonly softwareVersion: string;
  readonly asOf: number;
}

/**
 * The software versions of each service's endpoints at which a stream that has not ended may have begun.
 * The store keeps a record of them for each service, also of a single one, for processes that start later.
 *
 * A version that joins others settles before streams begin at it: it has been in the record for longer than
 * any process goes by an older record. So a process that knows a record with one version, however old, knows
 * that all streams begun until `maxRecordAgeMs` after it are of that version.
 */
export class SoftwareVersions implements EntryListener {
  /** What is known of the versions, by service and version. */
  private readonly known = new Map<string, Map<string, KnownVersion>>();

  private readonly stored = new Map<string, StoredRecord>();

  private readonly singles = new Map<string, SingleVersion>();

  /** Time from which this process may change a record, by service. */
  private readonly dueAt = new Map<string, number>();

  private readonly suspensions = SuspensionDetector.create();

  /** What was received before this time may be older than it seems: the host may have been suspended. */
  private trustedFrom = -Infinity;

  private isListed = false;

  private constructor(private readonly options: SoftwareVersionsOptions) {}

  static create(options: SoftwareVersionsOptions): SoftwareVersions {
    return new SoftwareVersions(options);
  }

  /** Records that an endpoint of the version serves, or has served until now. */
  note(service: string, softwareVersion: string, now: number): void {
    this.knownVersion(service, softwareVersion).seenAt = now;
  }

  /** Whether streams of several versions may go on in a service. */
  isMixed(service: string): boolean {
    return (this.known.get(service)?.size ?? 0) > 1;
  }

  /** Whether streams may begin at the version. Without any listing of the records, none is held back. */
  mayBegin(service: string, softwareVersion: string): boolean {
    return !this.isListed || this.known.get(service)?.get(softwareVersion)?.isSettled === true;
  }

  /**
   * The version of all streams of a service that have begun; undefined if there are several, or that is not
   * certain. Reads the store if what this process knows is too old to tell.
   */
  async only(service: string): Promise<string | undefined> {
    const { clock } = this.options;
    const known = this.onlyKnown(service, clock.now());
    const isReadNeeded = known === undefined && !this.isMixed(service);
    if (!isReadNeeded || this.isOutOfTouch(clock.now())) return known;
    const read = await this.readOnly(service);
    return this.isMixed(service) ? undefined : read;
  }

  /** Whether neither the store nor another process has confirmed the records lately. */
  isOutOfTouch(now: number): boolean {
    return this.isListed && this.options.recordAgeMs(now) >= this.options.maxRecordAgeMs;
  }

  onListing(entries: readonly Entry[]): void {
    this.stored.clear();
    this.isListed = true;
    entries.forEach((entry) => this.put(entry));
  }

  onChange(change: Change): void {
    if (change.kind === 'put') {
      this.put(change.entry);
      return;
    }
    const service = [...this.stored.keys()].find((each) => softwareKeyOf(each) === change.key);
    if (service !== undefined) this.stored.delete(service);
  }

  /** Follows the endpoints and keeps the records in the store until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      this.observe(clock.now());
      await this.updateStore();
      await clock.sleep(checkIntervalMs, signal);
    }
  }

  /** The version of all streams as far as the records tell that this process has received. */
  private onlyKnown(service: string, now: number): string | undefined {
    this.observe(now);
    const single = this.singles.get(service);
    if (single === undefined || this.hasOtherSettled(service, single)) return undefined;
    const isCertain = now >= this.trustedFrom && now - single.asOf < this.options.maxRecordAgeMs;
    return isCertain ? single.softwareVersion : undefined;
  }

  /** The only version that the record in the store names. */
  private async readOnly(service: string): Promise<string | undefined> {
    const listing = await this.options.store.listing(softwareKeyOf(service));
    if (listing.isErr()) {
      this.failed(service, describeFailure(listing.error));
      return undefined;
    }
    const records = listing.value.entries.flatMap((entry) => decodeSoftwareRecord(entry) ?? []);
    const versions = records.flatMap((record) => record.versions);
    return versions.length === 1 ? versions[0].softwareVersion : undefined;
  }

  private observe(now: number): void {
    const { directory, timeOfDay, recordAgeMs, maxRecordAgeMs } = this.options;
    if (this.suspensions.check(timeOfDay(), now)) this.trustedFrom = now + maxRecordAgeMs;
    directory
      .all()
      .forEach(({ service, softwareVersion }) => this.note(service, softwareVersion, now));
    this.forget(now);
    const asOf = now - recordAgeMs(now);
    this.stored.forEach(({ service, versions }) => {
      if (versions.length !== 1) return;
      this.singles.set(service, { softwareVersion: versions[0].softwareVersion, asOf });
    });
  }

  /** Forgets versions that no record names and of which no stream can be left. */
  private forget(now: number): void {
    this.known.forEach((versions, service) =>
      versions.forEach((known, version) => {
        if (!this.isRecorded(service, version) && this.isExpired(known, now)) {
          versions.delete(version);
        }
      }),
    );
  }

  /** Whether no stream can be left of a version. */
  private isExpired({ seenAt, recordedAt = -Infinity }: KnownVersion, now: number): boolean {
    const keepMs = this.options.streamLifetimeMs() + removalMarginMs;
    return Math.max(seenAt, recordedAt) < now - keepMs;
  }

  /** Whether streams may have begun at another version, which the record need not name any more. */
  private hasOtherSettled(service: string, { softwareVersion }: SingleVersion): boolean {
    const versions = [...(this.known.get(service) ?? [])];
    return versions.some(([version, { isSettled }]) => isSettled && version !== softwareVersion);
  }

  private isRecorded(service: string, softwareVersion: string): boolean {
    const versions = this.stored.get(service)?.versions ?? [];
    return versions.some((version) => version.softwareVersion === softwareVersion);
  }

  private knownVersion(service: string, softwareVersion: string): KnownVersion {
    const versions = this.known.get(service) ?? new Map<string, KnownVersion>();
    this.known.set(service, versions);
    const before = versions.get(softwareVersion);
    if (before !== undefined) return before;
    const version = { seenAt: -Infinity, recordedAt: undefined, isSettled: false };
    versions.set(softwareVersion, version);
    if (versions.size > 1) {
      const { telemetry, onMixed } = this.options;
      telemetry.log('software.mixed', { service, versions: [...versions.keys()].join(' ') });
      onMixed(service);
    }
    return version;
  }

  private put(entry: Entry): void {
    if (!entry.key.startsWith(softwarePrefix)) return;
    const { clock, telemetry } = this.options;
    const { key, revision } = entry;
    const record = decodeSoftwareRecord(entry);
    if (record === undefined) {
      telemetry.count('currantdrift_malformed_entries_total', { kind: 'software' });
      telemetry.log('software.malformed', { key, revision });
      return;
    }
    this.learn({ ...record, revision }, clock.now());
  }

  private learn(record: StoredRecord, now: number): void {
    const { service, versions } = record;
    this.stored.set(service, record);
    versions.forEach(({ softwareVersion, isSettled }) => {
      const version = this.knownVersion(service, softwareVersion);
      version.recordedAt ??= now;
      if (!isSettled || version.isSettled) return;
      version.isSettled = true;
      this.options.telemetry.log('software.settled', { service, softwareVersion });
    });
    this.known.get(service)?.forEach((known, version, all) => {
      if (!this.isSeen(known, now) && !this.isRecorded(service, version)) all.delete(version);
    });
  }

  private async updateStore(): Promise<void> {
    const { clock } = this.options;
    for (const service of this.known.keys()) {
      const versions = this.wanted(service, clock.now());
      if (!this.differs(service, versions)) this.dueAt.delete(service);
      else if (this.isDue(service)) await this.write({ service, versions });
    }
  }

  /** The versions that the record of a service is to name. */
  private wanted(service: string, now: number): RecordedVersion[] {
    const versions = [...(this.known.get(service) ?? [])];
    // No stream has begun in a service without a record.
    const isNew = versions.every(([, { recordedAt }]) => recordedAt === undefined);
    const settledBefore = now - this.options.maxRecordAgeMs - settleMarginMs;
    const added = versions.filter(
      ([version, known]) => this.isRecorded(service, version) || this.isSeen(known, now),
    );
    const left = added.filter(([, known]) => !this.isExpired(known, now));
    // The last versions stay: they need not settle again when their endpoints come back.
    return (left.length > 0 ? left : added)
      .map(([softwareVersion, { isSettled, recordedAt = Infinity }]) => ({
        softwareVersion,
        isSettled: isSettled || isNew || recordedAt <= settledBefore,
      }))
      .sort((one, other) => (one.softwareVersion < other.softwareVersion ? -1 : 1));
  }

  /** Whether an endpoint of the version was known within the lifetime of a stream. */
  private isSeen({ seenAt }: KnownVersion, now: number): boolean {
    return seenAt >= now - this.options.streamLifetimeMs();
  }

  private differs(service: string, versions: readonly RecordedVersion[]): boolean {
    const recorded = this.stored.get(service)?.versions ?? [];
    const text = (all: readonly RecordedVersion[]) =>
      JSON.stringify(all.map(({ softwareVersion, isSettled }) => [softwareVersion, isSettled]));
    return this.isListed && text(recorded) !== text(versions);
  }

  private isDue(service: string): boolean {
    const { clock, random, members } = this.options;
    const now = clock.now();
    const dueAt = this.dueAt.get(service) ?? now + random.next() * spreadPerMemberMs * members();
    this.dueAt.set(service, dueAt);
    return dueAt <= now;
  }

  private async write(record: SoftwareRecord): Promise<void> {
    const { clock, store } = this.options;
    const { service } = record;
    const key = softwareKeyOf(service);
    const expected = this.stored.get(service)?.revision ?? 0;
    const changed = await store.compareAndSwap(key, expected, encodeSoftwareRecord(record));
    if (changed.isErr()) {
      this.dueAt.set(service, clock.now() + retryMs);
      this.failed(service, describeFailure(changed.error));
      return;
    }
    this.dueAt.delete(service);
    const { value: result } = changed;
    if (result.kind === 'swapped') {
      this.learn({ ...record, revision: result.revision }, clock.now());
    } else if (result.current !== undefined) this.put(result.current);
    else this.stored.delete(service);
  }

  private failed(service: string, reason: string): void {
    this.options.telemetry.log('software.store_failed', { service, reason });
  }
}
