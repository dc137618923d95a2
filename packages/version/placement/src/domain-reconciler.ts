import { type EndpointReport, OrderKind, type Store, type WakeRefusal } from '@currantdrift/core';
import { err, type Result } from 'neverthrow';
import {
  acceptsOrders,
  type Claim,
  claimsByName,
  claimsOn,
  mayBeSentByFormerHolder,
  isRoutable,
} from './accounting';
import type { CatalogueItem } from './catalogue';
import type { Domain } from './domain';
import { FormerHolderTracker } from './former-holders';
import { itemNameOf, reservesMemory, pairKey } from './intent';
import { Loader } from './loader';
import { withKeepWarm, withoutEngines, withoutIntents, withoutTenures } from './record-updates';
import { type ReportContext, applyReport } from './apply-report';
import { planStandingIntents } from './standing-intents';
import { Unloader } from './unloader';

/** Ticks between two passes that preload items and update standing intents. */
const ticksPerPreload = 5;

/** Ticks between two reads of the host list. */
const ticksPerHostRead = 2;

/** Time, in ms, for which a recorded item may be missing from reports before it is unloaded. */
const missingMs = 10_000;

/** Time, in ms, after a failed drain before an expired replica is checked again. */
const busyCheckMs = 5_000;

/** Load level of a full engine, in eighths of its slots. */
const fullLevel = 8;

/**
 * Control loop of the domain's holder during one epoch. Each tick compares the engines' reports
 * with the record, the accepted bundle and the keep-warm policy, and starts the needed loads and
 * unloads.
 */
export class DomainReconciler {
  readonly loader: Loader;

  readonly unloader: Unloader;

  private readonly formerHolders: FormerHolderTracker;

  private readonly raisingEpoch = new Set<string>();

  private readonly readySince = new Map<string, number>();

  /** Time at which to check a replica again whose drain failed, by `pairKey`. */
  private readonly checkAgainAt = new Map<string, number>();

  private readonly missingSince = new Map<string, number>();

  private keepWarmCopiedAt: number;

  private stopping = false;

  /** True once the first pass has read reports and tried to put fencing in force. */
  private isReady = false;

  private readonly ready = new AbortController();

  private constructor(
    readonly domain: Domain,
    store: Store,
  ) {
    this.unloader = Unloader.create(domain);
    this.loader = Loader.create(domain, this.unloader);
    const { name, settings, clock } = domain.parts;
    this.formerHolders = FormerHolderTracker.create(store, name, settings.transitMs);
    this.keepWarmCopiedAt = clock.now();
  }

  static create(domain: Domain, store: Store): DomainReconciler {
    return new DomainReconciler(domain, store);
  }

  /** False once this process must send no more orders. */
  get isActive(): boolean {
    return this.domain.isActive && !this.stopping;
  }

  /** Runs the loop until the domain is lost or handed over. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, settings, telemetry } = this.domain.parts;
    for (let tick = 0; this.isActive && !signal.aborted; tick += 1) {
      try {
        await this.step(tick, clock.now());
      } catch (error) {
        telemetry.log('controller_step_failed', { error: String(error) });
      }
      await clock.sleep(settings.tickMs, signal);
    }
  }

  async wake(listed: CatalogueItem, deadline: number): Promise<Result<string, WakeRefusal>> {
    if (!this.isActive) {
      return err({
        kind: 'no_controller',
        message: 'the domain is changing its controller',
        retryAfterMs: 1_000,
      });
    }
    if (!this.isReady) await this.waitUntilReady(deadline);
    return this.loader.wake(listed, deadline);
  }

  /** Context for a report of `engine` that is requested now. */
  contextOf(engine: string): ReportContext {
    const { engines, protections, clock } = this.domain.parts;
    const { record } = this.domain;
    const ended = protections.pairExclusion
      ? this.formerHolders.ended(record, clock.now())
      : new Set(record.intents.map(({ epoch }) => epoch));
    return {
      fencing: engines.statuses.get(engine)?.fencing ?? false,
      answeredBefore: new Set(
        record.intents
          .filter(
            (intent) => intent.engine === engine && intent.answered && !reservesMemory(intent),
          )
          .map(({ id }) => id),
      ),
      endedEpochs: ended,
      unsettled: protections.pairExclusion ? this.formerHolders.unsettled(clock.now()) : new Set(),
      pending: engines.pending,
    };
  }

  onReport(report: EndpointReport, context: ReportContext): void {
    const { engines, recordWriter } = this.domain.parts;
    const pending = new Set([...context.pending, ...engines.pending]);
    recordWriter
      .commit({ apply: (record) => applyReport(record, report, { ...context, pending }) })
      .catch(() => {});
  }

  /** Tells whether every engine that enforces fencing has confirmed this epoch in a report. */
  hasHeardAll(): boolean {
    const { engines } = this.domain.parts;
    return [...engines.statuses.values()].every(
      (engine) => !engine.fencing || acceptsOrders(engine, this.domain.record.epoch),
    );
  }

  /** Stops sending orders and waits up to `stopMs` for those in flight; true if none is open. */
  async close(): Promise<boolean> {
    const { clock, engines, settings } = this.domain.parts;
    this.stopping = true;
    this.loader.close();
    const end = clock.now() + settings.stopMs;
    while (engines.callsInFlight > 0 && clock.now() < end) await clock.sleep(50);
    return engines.callsInFlight === 0 && engines.doubtful.size === 0;
  }

  private async step(tick: number, now: number): Promise<void> {
    const { recordWriter, engines, clock, settings, keepWarm } = this.domain.parts;
    recordWriter.check();
    if (tick % ticksPerHostRead === 0) {
      await this.readHosts();
      await this.formerHolders.readAcknowledgements(this.domain.record.tenures, now);
      await this.endTenures(now);
    }
    await engines.refresh(now);
    const raised = this.raiseEpochs();
    if (!this.isReady) {
      await Promise.race([raised, clock.sleep(settings.reportTimeoutMs)]);
      this.isReady = true;
      this.ready.abort();
    }
    this.enforceBundle(now);
    this.unloadIdle(clock.now());
    this.addReplicas();
    this.clearMissing(now);
    if (tick % ticksPerPreload === 0) {
      this.preloadExpected(now);
      await this.updateStandingIntents(now);
    }
    if (now - this.keepWarmCopiedAt >= settings.keepWarmCopyMs) {
      this.keepWarmCopiedAt = now;
      const copy = keepWarm.snapshot(now);
      await recordWriter.commit({ apply: (record) => withKeepWarm(record, copy) });
    }
  }

  private async readHosts(): Promise<void> {
    const { engines, recordWriter, clock } = this.domain.parts;
    const before = engines.hostList;
    engines.expectEngines(new Set(this.domain.record.intents.map(({ engine }) => engine)));
    const gone = new Set(await engines.readHosts());
    if (engines.hostList !== undefined && engines.hostList !== before) {
      this.formerHolders.observe(engines.hostList, this.domain.record.tenures, clock.now());
    }
    if (gone.size > 0)
      await recordWriter.commit({ apply: (latest) => withoutEngines(latest, gone) });
  }

  /** Removes the tenures of former holders that have ended and have no open intents. */
  private async endTenures(now: number): Promise<void> {
    const { recordWriter, engines } = this.domain.parts;
    const { record } = this.domain;
    const ended = this.formerHolders.ended(record, now);
    const open = record.intents.filter((intent) => mayBeSentByFormerHolder(intent, record));
    const stuck = open.filter(({ epoch }) => ended.has(epoch));
    await Promise.all(
      [...new Set(stuck.map(({ engine }) => engine))].map((id) => engines.fetchFresh(id)),
    );
    const finished = record.tenures.filter(
      ({ epoch }) => ended.has(epoch) && !open.some((intent) => intent.epoch === epoch),
    );
    if (finished.length === 0) return;
    const epochs = new Set(finished.map(({ epoch }) => epoch));
    const commit = await recordWriter.commit({ apply: (latest) => withoutTenures(latest, epochs) });
    if (commit === 'confirmed') await this.formerHolders.deleteAcknowledgements(epochs);
  }

  /**
   * Raises the epoch on engines that enforce fencing, so that they refuse former holders' orders.
   */
  private async raiseEpochs(): Promise<void> {
    const { engines } = this.domain.parts;
    const { epoch } = this.domain.record;
    const raises = [...engines.statuses.values()]
      .filter((engine) => engine.fencing && !this.raisingEpoch.has(engine.id))
      .filter((engine) => engine.report !== undefined && !acceptsOrders(engine, epoch))
      .map(async ({ id, report }) => {
        const order = `${epoch}-epoch-${report?.bootId}`;
        this.raisingEpoch.add(id);
        await engines.sendOrder(id, {
          id: order,
          epoch,
          kind: OrderKind.role,
          item: '',
          bytes: 0,
        });
        engines.release(order);
        await engines.fetchFresh(id);
        this.raisingEpoch.delete(id);
      });
    await Promise.allSettled(raises);
  }

  /** After a takeover, waits for the first pass, up to `deadline` and the lease time. */
  private async waitUntilReady(deadline: number): Promise<void> {
    const { clock } = this.domain.parts;
    const left = Math.min(deadline - clock.now(), this.domain.parts.settings.leaseMs);
    if (left > 0) await clock.sleep(left, this.ready.signal);
  }

  /** Drains and unloads replicas that the accepted bundle no longer allows. */
  private enforceBundle(now: number): void {
    const { catalogue } = this.domain;
    if (catalogue === undefined) return;
    const { keepWarm } = this.domain.parts;
    claimsByName(this.domain.claims()).forEach((claims, name) => {
      const listed = catalogue.get(name);
      const allotted = this.domain.allotted(name);
      const loaded = claims.filter(isRoutable);
      const outdated = loaded.filter(({ item }) => item !== listed?.key);
      const hasSpare = claims.length < allotted;
      const isInUse = keepWarm.keepUntil(name, now) > now;
      if (listed !== undefined && outdated.length > 0 && hasSpare && isInUse) {
        // The allotment has room for both versions, so the new one is loaded first.
        this.loader.warm(listed);
      } else {
        const isReplaced = listed !== undefined && allotted > 0 && isInUse;
        outdated.forEach((claim) => this.replace(claim, isReplaced ? listed : undefined));
      }
      if (
        listed !== undefined &&
        outdated.length > 0 &&
        hasSpare &&
        this.hasRoutableReplica(listed)
      ) {
        outdated.forEach((claim) => this.replace(claim, undefined));
      }
      const excess = claims.length - outdated.length - allotted;
      loaded
        .filter(({ item }) => item === listed?.key)
        .sort((a, b) => (a.reported?.running ?? 0) - (b.reported?.running ?? 0))
        .slice(0, Math.max(0, excess))
        .forEach((claim) => this.drainAndUnload(claim, false));
    });
  }

  private hasRoutableReplica({ key }: CatalogueItem): boolean {
    return this.domain.routable(key).length > 0;
  }

  private replace(claim: Claim, next: CatalogueItem | undefined): void {
    if (this.unloader.isUnloading(claim.engine, claim.item)) return;
    this.unloader
      .drainAndUnload(claim.engine, claim.item, false)
      .then((gone) => {
        if (gone && next !== undefined && this.isActive) this.loader.warm(next);
      })
      .catch(() => {});
  }

  private drainAndUnload({ engine, item }: Claim, cancellable: boolean): void {
    if (this.unloader.isUnloading(engine, item)) return;
    this.unloader
      .drainAndUnload(engine, item, cancellable)
      .then((gone) => {
        const again = this.domain.parts.clock.now() + busyCheckMs;
        if (!gone) this.checkAgainAt.set(pairKey(engine, item), again);
      })
      .catch(() => {});
  }

  /** Unloads replicas whose keep-warm time has expired. */
  private unloadIdle(now: number): void {
    const { keepWarm, settings } = this.domain.parts;
    const claims = [...this.domain.claims().values()].filter(isRoutable);
    const present = new Set(claims.map(({ engine, item }) => pairKey(engine, item)));
    [...this.readySince.keys()]
      .filter((key) => !present.has(key))
      .forEach((key) => {
        this.readySince.delete(key);
        this.checkAgainAt.delete(key);
      });
    const wanted = new Set<string>();
    claims.forEach((claim) => {
      const key = pairKey(claim.engine, claim.item);
      if (!this.readySince.has(key)) this.readySince.set(key, now);
      const isNew = now - (this.readySince.get(key) ?? now) < settings.minWarmMs;
      // A replica on a leaving engine would use a slot that another engine could have.
      const isKept =
        this.domain.isLive(claim.engine) &&
        (isNew || keepWarm.keepUntil(itemNameOf(claim.item), now) > now);
      const isBusy = now < (this.checkAgainAt.get(key) ?? 0);
      if (!isKept && !isBusy) return;
      wanted.add(key);
      const listed = this.domain.catalogue?.get(itemNameOf(claim.item));
      if (listed?.model !== undefined) wanted.add(pairKey(claim.engine, listed.model));
    });
    claims
      .filter(({ engine, item }) => !wanted.has(pairKey(engine, item)))
      .filter(({ engine, item }) => !this.hasPendingAdapter(engine, item))
      .forEach((claim) => this.drainAndUnload(claim, true));
  }

  /** Adds a replica of items whose replicas are all on full engines, within their allotment. */
  private addReplicas(): void {
    const { view } = this.domain.parts;
    this.domain.catalogue?.all().forEach((listed) => {
      if (listed.limit < 2 || this.loader.isLoading(listed.key)) return;
      const replicas = this.domain.routable(listed.key);
      const isFull = ({ engine }: Claim) => (view.endpoint(engine)?.level ?? 0) >= fullLevel;
      if (replicas.length === 0 || !replicas.every(isFull)) return;
      if (this.domain.count(listed.name) < this.domain.allotted(listed.name)) {
        this.loader.add(listed);
      }
    });
  }

  /** Tells whether the engine has a claim for an adapter of the model that is not routable yet. */
  private hasPendingAdapter(engine: string, item: string): boolean {
    return claimsOn(this.domain.claims(), engine).some((claim) => {
      const listed = this.domain.catalogue?.get(itemNameOf(claim.item));
      return listed?.model === item && !isRoutable(claim);
    });
  }

  /** Orders unloads of recorded items that reports lack, so that their intents are removed. */
  private clearMissing(now: number): void {
    const { engines } = this.domain.parts;
    const missing = [...this.domain.claims().values()].filter(
      ({ engine, reported, intents }) =>
        reported === undefined &&
        engines.statuses.get(engine)?.report !== undefined &&
        intents.every(({ answered }) => answered),
    );
    const keys = new Set(missing.map(({ engine, item }) => pairKey(engine, item)));
    [...this.missingSince.keys()]
      .filter((key) => !keys.has(key))
      .forEach((key) => this.missingSince.delete(key));
    missing.forEach((claim) => {
      const key = pairKey(claim.engine, claim.item);
      if (!this.missingSince.has(key)) this.missingSince.set(key, now);
      if (now - (this.missingSince.get(key) ?? now) >= missingMs) this.drainAndUnload(claim, false);
    });
  }

  /** Preloads items that the keep-warm policy expects to be used soon. */
  private preloadExpected(now: number): void {
    const { keepWarm } = this.domain.parts;
    this.domain.catalogue?.all().forEach((listed) => {
      const at = keepWarm.preloadAt(listed.name, now);
      if (at === undefined || at > now || this.loader.isLoading(listed.key)) return;
      if (this.domain.allotted(listed.name) > 0) this.loader.warm(listed);
    });
  }

  private async updateStandingIntents(now: number): Promise<void> {
    const { recordWriter } = this.domain.parts;
    const { catalogue } = this.domain;
    if (catalogue === undefined || recordWriter.isOutage) return;
    const { added, removed } = planStandingIntents(this.domain, catalogue, now);
    if (added.length === 0 && removed.size === 0) return;
    const undo = (record: typeof recordWriter.record) =>
      withoutIntents(record, new Set(added.map(({ id }) => id)));
    await recordWriter.commit({
      apply: (record) => {
        const base = withoutIntents(record, removed);
        return added.reduce((next, intent) => {
          const listed = catalogue.get(itemNameOf(intent.item));
          return listed !== undefined && this.domain.hasRoomFor(next, intent, listed)
            ? { ...next, intents: [...next.intents, intent] }
            : next;
        }, base);
      },
      undo,
    });
  }
}
