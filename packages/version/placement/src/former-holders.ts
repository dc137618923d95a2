import type { Host, Store } from '@currantdrift/core';
import { deleteAcknowledgement, readAcknowledgement } from './acknowledgement';
import type { DomainRecord, Tenure } from './record';

/** Host list reads in a row that must miss a daemon before its process counts as gone. */
const missedReads = 2;

/** Finds out which earlier holders of the domain can send no more orders. */
export class FormerHolderTracker {
  /** Time at which the process of an epoch was found gone. */
  private readonly goneSince = new Map<number, number>();

  private readonly missed = new Map<number, number>();

  /** Time at which the acknowledgement of an epoch was seen, and the ids that it leaves out. */
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

  /** Ids of intents that an acknowledgement leaves out and whose bytes may still arrive. */
  unsettled(now: number): ReadonlySet<string> {
    const recent = [...this.acknowledged].filter(
      ([epoch, { at }]) => now - at < this.transitMs && !this.isGone(epoch, now),
    );
    return new Set(recent.flatMap(([, { unsettled }]) => unsettled));
  }

  /** Epochs below the present one whose holders can send no more orders. */
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

  /** Looks at a newly read host list. */
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

  /** Clears up after tenures that have been taken out of the record. */
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
