import { OrderKind } from '@currantdrift/core';
import { isExcluded } from './accounting';
import type { Domain } from './domain';
import { type Intent, IntentKind, isAdapterOf, pairKey } from './intent';
import { withAnswer, withIntents, withoutIntents } from './record-updates';

/** Pause, in ms, before a failed or blocked step is retried. */
const retryMs = 1_000;

/** Drains and unloads replicas, and waits for reports that prove they are gone. */
export class Unloader {
  private readonly running = new Map<string, Promise<boolean>>();

  private constructor(private readonly domain: Domain) {}

  static create(domain: Domain): Unloader {
    return new Unloader(domain);
  }

  isUnloading(engine: string, item: string): boolean {
    return this.running.has(pairKey(engine, item));
  }

  /**
   * Resolves with true once the replica is proven gone, with false if a request canceled the drain
   * (only if `cancellable`) or the domain was lost. Concurrent calls for one replica share a drain.
   */
  drainAndUnload(engine: string, item: string, cancellable: boolean): Promise<boolean> {
    const key = pairKey(engine, item);
    const known = this.running.get(key);
    if (known !== undefined) {
      // A drain that must not be canceled replaces a cancellable one.
      if (!cancellable && this.domain.parts.drains.has(engine, item)) {
        this.domain.parts.drains.set(engine, item, false);
      }
      return known;
    }
    const work = this.run(engine, item, cancellable).finally(() => {
      this.running.delete(key);
      this.domain.parts.drains.delete(engine, item);
    });
    this.running.set(key, work);
    return work;
  }

  private async run(engine: string, item: string, cancellable: boolean): Promise<boolean> {
    const { drains, clock, settings } = this.domain.parts;
    // The last report may be outdated, so a fresh one must confirm that the replica is idle.
    if (cancellable && (await this.isRunning(engine, item)) !== false) return false;
    drains.set(engine, item, cancellable);
    const adapters = [...this.domain.claims().values()].filter(
      (claim) =>
        claim.engine === engine && isAdapterOf(claim.item, item) && claim.reported !== undefined,
    );
    const retired = await Promise.all(
      adapters.map((claim) => this.drainAndUnload(engine, claim.item, cancellable)),
    );
    if (retired.includes(false)) return false;
    await clock.sleep(settings.drainMs);
    while (this.domain.isActive && drains.has(engine, item)) {
      if (this.isGone(engine, item)) return true;
      if ((await this.isUnused(engine, item)) && drains.has(engine, item)) {
        drains.set(engine, item, false);
        if (await this.unload(engine, item)) return true;
        if (this.domain.isActive) drains.set(engine, item, cancellable);
      }
      if (cancellable && (await this.isRunning(engine, item)) === true) return false;
      await clock.sleep(retryMs);
    }
    return false;
  }

  private isGone(engine: string, item: string): boolean {
    return !this.domain.claims().has(pairKey(engine, item));
  }

  /** Whether a request runs on the replica or its adapters; undefined if no report was received. */
  private async isRunning(engine: string, item: string): Promise<boolean | undefined> {
    const report = await this.domain.parts.engines.fetchFresh(engine);
    return report?.items.some(
      (held) => held.running > 0 && (held.item === item || isAdapterOf(held.item, item)),
    );
  }

  /** Tells whether a fresh report shows no running request and no adapters on the replica. */
  private async isUnused(engine: string, item: string): Promise<boolean> {
    const report = await this.domain.parts.engines.fetchFresh(engine);
    if (report === undefined) return false;
    const held = report.items.find((candidate) => candidate.item === item);
    const adapters = report.items.filter((candidate) => isAdapterOf(candidate.item, item));
    return (held === undefined || held.running === 0) && adapters.length === 0;
  }

  /** Orders the unload and waits until a report proves it; false if it has to be retried. */
  private async unload(engine: string, item: string): Promise<boolean> {
    const { engines, recordWriter, clock } = this.domain.parts;
    const intent = await this.record(engine, item);
    if (intent === undefined) return false;
    const end = await engines.sendOrder(engine, {
      id: intent.id,
      epoch: intent.epoch,
      kind: OrderKind.unload,
      item,
      bytes: 0,
    });
    if (end === 'abandoned') return false;
    if (end === 'refused') {
      await this.domain.removeIntent(intent.id);
      return false;
    }
    await recordWriter.commit({ apply: (record) => withAnswer(record, intent.id) });
    engines.release(intent.id);
    while (this.domain.isActive) {
      await engines.fetchFresh(engine);
      if (!this.domain.record.intents.some(({ id }) => id === intent.id)) return true;
      await clock.sleep(retryMs);
    }
    return false;
  }

  private async record(engine: string, item: string): Promise<Intent | undefined> {
    const { engines } = this.domain.parts;
    const status = engines.statuses.get(engine);
    const bootId = status?.report?.bootId;
    if (bootId === undefined) return undefined;
    const intent: Intent = {
      id: this.domain.newId(),
      engine,
      bootId,
      item,
      bytes: 0,
      kind: IntentKind.unload,
      epoch: this.domain.record.epoch,
      answered: false,
    };
    engines.reserve(intent.id);
    const commit = await this.domain.commit({
      apply: (record) =>
        isExcluded(this.domain.account(record), engine, item)
          ? undefined
          : withIntents(record, [intent]),
      // An engine that ignores fencing only gets orders whose intent the store has confirmed.
      ...(status?.fencing
        ? {}
        : { undo: (record) => withoutIntents(record, new Set([intent.id])) }),
    });
    if (commit === 'confirmed' || commit === 'unrecorded') return intent;
    engines.release(intent.id);
    return undefined;
  }
}
