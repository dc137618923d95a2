import {
  BoundedMap,
  type Change,
  type Clock,
  type Entry,
  HostState,
  type Telemetry,
} from '@currantdrift/core';
import type { EndpointDirectory, EndpointRecord } from '@currantdrift/fleet';
import type { Result } from 'neverthrow';
import type { EntryListener } from '../process/feed';

/** Decodes an endpoint's entry; the error names the invalid field and the reason. */
export type EndpointDecoder = (entry: Entry) => Result<EndpointRecord, string>;

/**
 * Time after the store has recovered in which endpoints may write entries again that expired during
 * its outage, in ms. Endpoints without an entry after that time are removed.
 */
const recoveryGraceMs = 2_000;

/**
 * Time after the store has come back from a copy in which the entries of endpoints that had left are not
 * trusted, in ms: entries of endpoints that have ended lapse by then.
 */
const distrustMs = 10_000;

/** Maximum number of endpoint starts that are remembered as removed. */
const maxRemoved = 10_000;

/** Updates the endpoint directory from the endpoints' entries in the store. */
export class EndpointDirectoryUpdater implements EntryListener {
  /** Endpoints whose removal is delayed until the grace period after a store outage ends, by id. */
  private readonly pendingRemovals = new Map<string, AbortController>();

  private storeRecoveredAt = -Infinity;

  /** Start time by id of the endpoints whose entries were removed. */
  private readonly removed = BoundedMap.create<number>(maxRemoved);

  /** Entries of such endpoints that a restored store has brought back, by id. */
  private readonly distrusted = new Map<string, Entry>();

  /** First revision known of the store's era, and time until which entries up to it are not trusted. */
  private restored = { revision: 0, distrustedUntil: -Infinity };

  private constructor(
    private readonly prefix: string,
    private readonly decode: EndpointDecoder,
    private readonly directory: EndpointDirectory,
    private readonly telemetry: Telemetry,
    private readonly clock: Clock,
  ) {}

  /** `prefix` is the key prefix of endpoint entries. */
  static create(
    prefix: string,
    decode: EndpointDecoder,
    directory: EndpointDirectory,
    telemetry: Telemetry,
    clock: Clock,
  ): EndpointDirectoryUpdater {
    return new EndpointDirectoryUpdater(prefix, decode, directory, telemetry, clock);
  }

  /** Starts the grace period: the store responds again after an outage. */
  storeRecovered(now: number): void {
    this.storeRecoveredAt = now;
  }

  /**
   * The store has come back from a copy: entries written since the copy was made may be missing for a
   * moment, and endpoints that have left since may be in it.
   */
  storeRestored(revision: number, now: number): void {
    this.storeRecovered(now);
    this.restored = { revision, distrustedUntil: now + distrustMs };
    this.clock
      .sleep(distrustMs)
      .then(() => this.trustAll())
      .catch(() => {});
  }

  onListing(entries: readonly Entry[]): void {
    const listed = new Set(entries.map(({ key }) => this.idOf(key)));
    this.directory
      .all()
      .filter(({ id }) => !listed.has(id))
      .forEach(({ id }) => this.entryRemoved(id));
    entries.forEach((entry) => this.put(entry));
  }

  onChange(change: Change): void {
    if (change.kind === 'put') this.put(change.entry);
    else this.entryRemoved(this.idOf(change.key));
  }

  private idOf(key: string): string {
    return key.slice(this.prefix.length);
  }

  private put(entry: Entry): void {
    const id = this.idOf(entry.key);
    const decoded = this.decode(entry);
    if (decoded.isErr()) {
      this.telemetry.count('currantdrift_malformed_entries_total', { kind: 'endpoint' });
      this.telemetry.log('endpoint.malformed', {
        endpoint: id,
        revision: entry.revision,
        reason: decoded.error,
      });
      return;
    }
    const record = decoded.value;
    if (this.isDistrusted(entry, id, record.bornAt)) {
      this.distrusted.set(id, entry);
      this.telemetry.log('endpoint.distrusted', { endpoint: id, revision: entry.revision });
      return;
    }
    this.distrusted.delete(id);
    this.removed.delete(id);
    this.cancelRemoval(id);
    // An endpoint that leaves does not come back, whatever an older entry says.
    if (record.state === HostState.leaving) this.directory.markLeaving(id, record.bornAt);
    const before = this.directory.get(id);
    this.directory.put(record);
    const isNew = before === undefined || before.bornAt !== record.bornAt;
    if (isNew || before.state !== record.state || before.address !== record.address) {
      this.telemetry.log('endpoint', {
        endpoint: id,
        address: record.address,
        service: record.service,
        softwareVersion: record.softwareVersion,
        state: record.state,
        bornAt: record.bornAt,
        revision: entry.revision,
      });
    }
  }

  /** Whether an entry may stem from before the endpoint left. */
  private isDistrusted({ revision }: Entry, id: string, bornAt: number): boolean {
    return (
      this.removed.get(id) === bornAt &&
      revision <= this.restored.revision &&
      this.clock.now() < this.restored.distrustedUntil
    );
  }

  /** Trusts the entries that have not lapsed. */
  private trustAll(): void {
    if (this.clock.now() < this.restored.distrustedUntil) return;
    const entries = [...this.distrusted.values()];
    this.distrusted.clear();
    entries.forEach((entry) => this.put(entry));
  }

  private entryRemoved(id: string): void {
    this.distrusted.delete(id);
    const record = this.directory.get(id);
    if (record === undefined || this.pendingRemovals.has(id)) return;
    const graceMs = this.storeRecoveredAt + recoveryGraceMs - this.clock.now();
    if (graceMs <= 0 || record.state === HostState.leaving) {
      this.remove(id);
      return;
    }
    const cancelled = new AbortController();
    this.pendingRemovals.set(id, cancelled);
    this.removeAfter(id, graceMs, cancelled.signal).catch(() => {});
  }

  /** Removes the endpoint after the grace period unless `cancelled` is aborted because its entry reappeared. */
  private async removeAfter(id: string, graceMs: number, cancelled: AbortSignal): Promise<void> {
    await this.clock.sleep(graceMs, cancelled);
    if (cancelled.aborted) return;
    this.pendingRemovals.delete(id);
    this.remove(id);
  }

  private cancelRemoval(id: string): void {
    this.pendingRemovals.get(id)?.abort();
    this.pendingRemovals.delete(id);
  }

  private remove(id: string): void {
    const record = this.directory.get(id);
    if (record !== undefined) this.removed.set(id, record.bornAt);
    this.directory.remove(id);
    this.telemetry.log('endpoint.removed', { endpoint: id });
  }
}
