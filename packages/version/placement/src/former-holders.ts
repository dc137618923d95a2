import type { Host, Store } from '@currantdrift/core';
import { deleteAcknowledgement, readAcknowledgement } from './acknowledgement';
import type { DomainRecord, Tenure } from './record';

/** Consecutive host list reads without a daemon after which its process counts as ended. */
const missedReads = 2;

/** Determines which former holders of the domain can send no more orders. */
export class FormerHolderTracker {
  /** Time at which the holder's process was found to have ended, by epoch. */
  private readonly goneSince = new Map<number, number>();

  private readonly missed = new Map<number, number>();

  /** Time at which an acknowledgement was read, and its unsettled intent ids, by epoch. */
  private readonly acknowledged = new Map<
    number,
    { readonly at: number; readonly unsettled: readonly string[] }
  >();

  private constructor(
    private readonly store: Store,
    private readonly domain: string,
    private readonly transitMs: number,
  ) {}

  static create(store: Store, domain: string, transitMs: number): FormerHolderTracker {
    return new FormerHolderTracker(store, domain, transitMs);
  }

  /** Ids of acknowledged but unsettled intents whose order may still reach an engine. */
  unsettled(now: number): ReadonlySet<string> {
    const recent = [...this.acknowledged].filter(
      ([epoch, { at }]) => now - at < this.transitMs && !this.isGone(epoch, now),
    );
    return new Set(recent.flatMap(([, { unsettled }]) => unsettled));
  }

  /** Epochs below the current one whose holders can send no more orders. */
  ended(record: DomainRecord, now: number): ReadonlySet<number> {
    const open = new Set(record.tenures.map(({ epoch }) => epoch));
    const earlier = record.intents
      .filter(({ epoch }) => epoch < record.epoch)
      .map(({ epoch }) => epoch);
    return new Set(
      [...earlier, ...open].filter(
        (epoch) => !open.has(epoch) || this.acknowledged.has(epoch) || this.isGone(epoch, now),
      ),
    );
  }

  /** Detects from a newly read host list which former holders have ended or been replaced. */
  observe(hosts: readonly Host[], tenures: readonly Tenure[], now: number): void {
    tenures.forEach(({ epoch, holder }) => {
      const host = hosts.find(({ name }) => name === holder.daemon);
      if (host === undefined) this.missed.set(epoch, (this.missed.get(epoch) ?? 0) + 1);
      else this.missed.delete(epoch);
      const replaced = host !== undefined && host.incarnation > holder.incarnation;
      if (!replaced && (this.missed.get(epoch) ?? 0) < missedReads) return;
      if (!this.goneSince.has(epoch)) this.goneSince.set(epoch, now);
    });
  }

  /** Reads the acknowledgements that are still missing. */
  async readAcknowledgements(tenures: readonly Tenure[], now: number): Promise<void> {
    const missing = tenures.filter(({ epoch }) => !this.acknowledged.has(epoch));
    await Promise.all(
      missing.map(async ({ epoch, holder }) => {
        const found = await readAcknowledgement(this.store, this.domain, epoch, holder);
        if (found === undefined) return;
        this.acknowledged.set(epoch, { at: now, unsettled: found.unsettled });
      }),
    );
  }

  /** Deletes the acknowledgements of tenures that have been removed from the record. */
  async deleteAcknowledgements(epochs: Iterable<number>): Promise<void> {
    await Promise.all(
      [...epochs].map((epoch) => deleteAcknowledgement(this.store, this.domain, epoch)),
    );
  }

  private isGone(epoch: number, now: number): boolean {
    const since = this.goneSince.get(epoch);
    return since !== undefined && now - since >= this.transitMs;
  }
}
