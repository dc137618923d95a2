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
import {
  type CrashLedger,
  type CrashWatch,
  type Quarantine,
  quarantineSchema,
} from '@currantdrift/quarantine';
import type { EntryListener } from '../process/feed';
import { daemonPrefix } from './members';

export const quarantinePrefix = `${daemonPrefix}quarantine/`;

/** Interval between checks for quarantines that the store lacks, in ms. */
const checkIntervalMs = 250;

/** Delay before a member writes a quarantine that none of its own reports led to, in ms. */
const othersDelayMs = 2_000;
const othersSpreadPerMemberMs = 10;

/** Longest pause between attempts to write an entry, in ms. */
const retryMs = 2_000;

export interface StoredQuarantinesOptions {
  readonly store: PrefixStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly telemetry: Telemetry;
  readonly ledger: CrashLedger;
  readonly watch: () => CrashWatch;
  readonly members: () => number;
}

const keyOf = ({ service, parts }: Quarantine): string =>
  `${quarantinePrefix}${digest(service, ...parts)}`;

/**
 * Keeps the quarantines in the store, for processes that start later. An entry that vanishes from the
 * store ends no quarantine: it is written again while the quarantine is in force.
 */
export class StoredQuarantines implements EntryListener {
  /** Revisions of the entries in the store, by key. */
  private readonly stored = new Map<string, number>();

  /** Time from which this process writes a missing entry, by key. */
  private readonly dueAt = new Map<string, number>();

  /** Keys of quarantines to which reports of this process led. */
  private readonly own = new Set<string>();

  private constructor(private readonly options: StoredQuarantinesOptions) {}

  static create(options: StoredQuarantinesOptions): StoredQuarantines {
    return new StoredQuarantines(options);
  }

  onListing(entries: readonly Entry[]): void {
    this.stored.clear();
    entries.forEach((entry) => this.put(entry));
  }

  onChange(change: Change): void {
    if (change.kind === 'put') this.put(change.entry);
    else this.stored.delete(change.key);
  }

  /** Marks a quarantine that this process writes without delay. */
  begin(quarantine: Quarantine, isOwn: boolean): void {
    if (isOwn) this.own.add(keyOf(quarantine));
  }

  /** Removes the entry of a quarantine that an answer has shown to be wrong. */
  async end(quarantine: Quarantine): Promise<void> {
    const key = keyOf(quarantine);
    const revision = this.stored.get(key);
    if (revision === undefined) return;
    const removed = await this.options.store.compareAndSwap(key, revision, undefined);
    if (removed.isErr()) this.failed('remove', describeFailure(removed.error));
  }

  /** Writes missing entries until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.options.clock.sleep(checkIntervalMs, signal);
      for (const quarantine of this.missing()) await this.write(quarantine);
    }
  }

  private put({ key, value, revision }: Entry): void {
    if (!key.startsWith(quarantinePrefix)) return;
    const { clock, telemetry, watch } = this.options;
    const quarantine = decodeJson(quarantineSchema, value).unwrapOr(undefined);
    if (quarantine === undefined) {
      telemetry.count('currantdrift_malformed_entries_total', { kind: 'quarantine' });
      telemetry.log('quarantine.malformed', { key, revision });
      return;
    }
    this.stored.set(key, revision);
    this.dueAt.delete(key);
    watch().adopt(quarantine, clock.now());
  }

  /** Quarantines in force that this process is to write now. */
  private missing(): Quarantine[] {
    const { clock, ledger, random, members } = this.options;
    const now = clock.now();
    return ledger.active(now).filter((quarantine) => {
      const key = keyOf(quarantine);
      if (this.stored.has(key)) return false;
      const spreadMs = random.next() * othersSpreadPerMemberMs * members();
      const dueAt = this.dueAt.get(key) ?? now + (this.own.has(key) ? 0 : othersDelayMs + spreadMs);
      this.dueAt.set(key, dueAt);
      return dueAt <= now;
    });
  }

  private async write(quarantine: Quarantine): Promise<void> {
    const { clock, random, store } = this.options;
    const key = keyOf(quarantine);
    this.dueAt.set(key, clock.now() + retryMs * (0.5 + random.next() / 2));
    const value = Buffer.from(JSON.stringify(quarantine));
    const written = await store.compareAndSwap(key, 0, value);
    if (written.isErr()) {
      this.failed('write', describeFailure(written.error));
      return;
    }
    const { value: result } = written;
    const revision = result.kind === 'swapped' ? result.revision : result.current?.revision;
    if (revision !== undefined) this.stored.set(key, revision);
  }

  private failed(call: string, reason: string): void {
    this.options.telemetry.log('quarantine.store_failed', { call, reason });
  }
}
