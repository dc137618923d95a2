import {
  type Bundle,
  type Clock,
  type DomainView,
  type Endpoint,
  eraOf,
  type HostList,
  isAdapter,
  modelOf,
  type Random,
  NoopTelemetry,
  type Store,
  SystemRandom,
  type Telemetry,
  type WakeRefusal,
  type Waker,
} from '@currantdrift/core';
import { err, ok, type Result } from 'neverthrow';
import { writeAcknowledgement } from './acknowledgement';
import { Budget, domainShare } from './budget';
import { Catalogue } from './catalogue';
import { Domain } from './domain';
import { type DrainMark, Drains } from './drains';
import { Engines } from './engines';
import { itemNameOf } from './intent';
import type { KeepWarmPolicy } from './keep-warm';
import { type CommitResult, RecordWriter } from './record-writer';
import { DomainLease } from './lease';
import { LoadSpeed } from './load-speed';
import type { Loan } from './loan';
import { allProtections, type Protections } from './protections';
import { decodeRecord, type DomainRecord, emptyRecord, encodeRecord, type Holder } from './record';
import { withHolder, withoutHolder, withoutIntents } from './record-updates';
import type { ReportContext } from './apply-report';
import { defaultPlacementSettings, type PlacementSettings } from './settings';
import { DomainReconciler } from './domain-reconciler';

/**
 * Number of engines in this domain and in all domains, to compute this domain's share of limits.
 */
export interface FleetSize {
  readonly engines: number;
  readonly allEngines: number;
  /** Concurrent weight-store loads that other domains leave unused, by a fresh summary. */
  readonly spareLoads?: number;
}

export interface ControllerOptions {
  readonly domain: string;
  readonly daemon: Holder;
  readonly store: Store;
  readonly clock: Clock;
  readonly hosts: HostList;
  /** Adapter to an engine of the domain, by host name. */
  readonly endpoint: (id: string) => Endpoint | undefined;
  /** The accepted bundle; undefined before there is one. */
  readonly bundle: () => Bundle | undefined;
  readonly view: DomainView;
  readonly keepWarm: KeepWarmPolicy;
  /** Called at each change with all replicas that are drained. */
  readonly onDrain?: (marks: readonly DrainMark[]) => void;
  readonly fleet?: () => FleetSize;
  readonly random?: Random;
  readonly telemetry?: Telemetry;
  readonly settings?: Partial<PlacementSettings>;
  /** Only scenarios and tests disable protections. */
  readonly protections?: Partial<Protections>;
}

/** State of a domain's placement, for status reports and operators. */
export interface ControllerStatus {
  readonly isHolder: boolean;
  readonly epoch: number;
  readonly isStoreDown: boolean;
  readonly drains: readonly DrainMark[];
  /**
   * Item names of the replicas that are ready and idle by the last reports; one entry per replica.
   */
  readonly idleItems: readonly string[];
  readonly record: DomainRecord | undefined;
}

const retryMs = 1_000;

/** Attempts to write an acknowledgement; the pause between them is `retryMs`. */
const acknowledgeTries = 100;

const noController: WakeRefusal = {
  kind: 'no_controller',
  message: 'this daemon does not control the domain',
  retryAfterMs: 1_000,
};

/**
 * Controller of a failure domain. It contends for the domain's lease; while it is the holder, only
 * it may order loads and unloads in the domain.
 */
export class Controller implements Waker {
  private readonly settings: PlacementSettings;

  private readonly random: Random;

  private readonly telemetry: Telemetry;

  private readonly speed: LoadSpeed;

  private readonly lease: DomainLease;

  private readonly stopped = new AbortController();

  private reconciler: DomainReconciler | undefined;

  private running: Promise<void> | undefined;

  private constructor(private readonly options: ControllerOptions) {
    this.settings = { ...defaultPlacementSettings, ...options.settings };
    this.random = options.random ?? SystemRandom.create();
    this.telemetry = options.telemetry ?? NoopTelemetry.create();
    this.speed = LoadSpeed.create(this.settings.bytesPerMs);
    this.lease = DomainLease.create({
      store: options.store,
      clock: options.clock,
      random: this.random,
      key: `domain/${options.domain}/lease`,
      holder: options.daemon.daemon,
      leaseMs: this.settings.leaseMs,
      renewMs: this.settings.renewMs,
    });
  }

  static create(options: ControllerOptions): Controller {
    return new Controller(options);
  }

  get isHolder(): boolean {
    return this.reconciler?.isActive ?? false;
  }

  /** Whether this process holds the domain and no other process can hold its lease at `now`. */
  isSoleHolder(now: number): boolean {
    return this.isHolder && this.lease.isConfirmed(now);
  }

  /** Contends for the domain until `stop` is called. Never rejects. */
  run(): Promise<void> {
    this.running ??= this.contend();
    return this.running;
  }

  /** Hands the domain over: waits for orders in flight, clears the holder, revokes the lease. */
  async stop(): Promise<void> {
    this.stopped.abort();
    await this.running;
  }

  async wake(item: string, deadline: number): Promise<Result<string, WakeRefusal>> {
    const { reconciler } = this;
    if (reconciler === undefined || !reconciler.isActive) return err(noController);
    const listed = reconciler.domain.catalogue?.find(item);
    if (listed === undefined) {
      return err({
        kind: 'no_allotment',
        message: `the accepted bundle has no ${item}`,
        retryAfterMs: retryMs,
      });
    }
    return reconciler.wake(listed, deadline);
  }

  touch(item: string, now: number): void {
    const name = itemNameOf(item);
    this.options.keepWarm.touch(name, now);
    // A request for an adapter also uses its model.
    if (isAdapter(name)) this.options.keepWarm.touch(modelOf(name), now);
  }

  /**
   * Records a loan. The giver must record it before the taker does. `rejected` while replicas that
   * are not proven gone still use the slots.
   */
  async recordLoan(loan: Loan): Promise<CommitResult> {
    return this.reconciler === undefined ? 'lost' : this.reconciler.domain.changeLoan(loan, false);
  }

  /** Ends a loan. The taker must end it before the giver does. */
  async endLoan(loan: Loan): Promise<CommitResult> {
    return this.reconciler === undefined ? 'lost' : this.reconciler.domain.changeLoan(loan, true);
  }

  status(): ControllerStatus {
    const domain = this.reconciler?.domain;
    return {
      isHolder: this.isHolder,
      epoch: domain?.record.epoch ?? 0,
      isStoreDown: domain?.parts.recordWriter.isOutage ?? false,
      drains: domain?.parts.drains.list() ?? [],
      idleItems: domain?.idleItems() ?? [],
      record: domain?.record,
    };
  }

  /** Creates the catalogue of a bundle, to look up limits and allotments. */
  static catalogue(bundle: Bundle): Catalogue {
    return Catalogue.create(bundle);
  }

  private async contend(): Promise<void> {
    const { signal } = this.stopped;
    while (!signal.aborted) {
      try {
        if (await this.lease.acquire(signal)) await this.holdDomain();
      } catch (error) {
        this.telemetry.log('controller_failed', { error: String(error) });
      }
      if (!signal.aborted) {
        await this.options.clock.sleep(retryMs * (0.5 + this.random.next()), signal);
      }
    }
  }

  private async holdDomain(): Promise<void> {
    const ended = new AbortController();
    const end = () => ended.abort();
    this.stopped.signal.addEventListener('abort', end, { once: true });
    // Renew from the start: with a slow store the takeover may take longer than the lease.
    const renewal = this.lease.renewUntilLost(ended.signal).then(() => {
      if (ended.signal.aborted) return;
      if (this.reconciler === undefined) end();
      else this.reconciler.domain.parts.recordWriter.close();
    });
    try {
      const taken = await this.takeOver(ended.signal);
      if (taken !== undefined) {
        const reconciler = this.createReconciler(taken.record, taken.revision, end);
        this.reconciler = reconciler;
        this.telemetry.log('domain_held', { epoch: taken.record.epoch });
        await reconciler.run(ended.signal);
        await this.handOver(reconciler);
      }
    } finally {
      this.stopped.signal.removeEventListener('abort', end);
      end();
      await renewal;
      this.reconciler = undefined;
      await this.lease.release();
    }
  }

  /** Raises the epoch in the record; undefined if `signal` aborted first. */
  private async takeOver(
    signal: AbortSignal,
  ): Promise<{ record: DomainRecord; revision: number } | undefined> {
    const { store, clock, daemon } = this.options;
    const key = this.recordKey();
    while (!signal.aborted) {
      const entry = await store.get(key);
      if (entry.isOk()) {
        const read = entry.value === undefined ? ok(emptyRecord) : decodeRecord(entry.value.value);
        if (read.isErr()) {
          this.telemetry.log('record_invalid', { key, error: read.error });
        } else {
          const { revision = 0 } = entry.value ?? {};
          const era = Math.max(eraOf(revision), this.lease.era);
          const record = { ...withHolder(read.value, daemon, era), serial: read.value.serial + 1 };
          const bytes = encodeRecord(record)._unsafeUnwrap();
          const swap = await store.compareAndSwap(key, revision, bytes);
          if (swap.isOk() && swap.value.kind === 'swapped') {
            return { record, revision: swap.value.revision };
          }
          // If the response was lost, the next attempt reads the record and increments the epoch
          // again.
        }
      }
      await clock.sleep(retryMs * this.random.next(), signal);
    }
    return undefined;
  }

  private createReconciler(
    record: DomainRecord,
    revision: number,
    onLost: () => void,
  ): DomainReconciler {
    const { options, settings, random, telemetry } = this;
    const { clock, store, view, keepWarm } = options;
    const recordWriter = RecordWriter.create({
      store,
      clock,
      random,
      telemetry,
      key: this.recordKey(),
      record,
      revision,
      onLost,
    });
    let reconciler: DomainReconciler | undefined;
    const engines = Engines.create({
      domain: options.domain,
      clock,
      hosts: options.hosts,
      endpoint: options.endpoint,
      view,
      telemetry,
      settings,
      isActive: () => reconciler?.isActive ?? false,
      onReport: (report, context) => reconciler?.onReport(report, context as ReportContext),
      contextOf: (engine) => reconciler?.contextOf(engine),
    });
    if (record.keepWarm !== '') keepWarm.restore(record.keepWarm, clock.now());
    const domain = Domain.create({
      name: options.domain,
      clock,
      random,
      telemetry,
      settings,
      protections: { ...allProtections, ...options.protections },
      recordWriter,
      engines,
      drains: Drains.create(options.onDrain ?? (() => {})),
      keepWarm,
      view,
      bundle: options.bundle,
      speed: this.speed,
      loads: Budget.create(clock, () => this.loadLimits()),
      transits: Budget.create(clock, () => ({
        maxConcurrent: this.shareOf(settings.adapterTransits),
        perSecond: Infinity,
      })),
    });
    reconciler = DomainReconciler.create(domain, store);
    return reconciler;
  }

  private async handOver(reconciler: DomainReconciler): Promise<void> {
    const settled = await reconciler.close();
    const { recordWriter, engines, drains } = reconciler.domain.parts;
    if (!recordWriter.isLost) {
      const { epoch } = recordWriter.record;
      const copy = this.options.keepWarm.snapshot(this.options.clock.now());
      await recordWriter.commit({
        apply: (record) => {
          const standing = record.intents
            .filter((intent) => intent.kind === 'standing' && intent.epoch === epoch)
            .map(({ id }) => id);
          const base = withoutIntents(record, new Set(standing));
          const isUnrecorded = record.unrecorded && !reconciler.hasHeardAll();
          return { ...withoutHolder(base, settled, isUnrecorded), keepWarm: copy };
        },
        undo: (record) => record,
      });
    }
    recordWriter.close();
    drains.clear();
    this.acknowledge(recordWriter.record.epoch, engines).catch(() => {});
  }

  /** Once no order of the epoch is in flight, tells successors that no more are sent. */
  private async acknowledge(epoch: number, engines: Engines): Promise<void> {
    const { store, clock, domain, daemon } = this.options;
    const { incarnation } = daemon;
    while (engines.callsInFlight > 0) await clock.sleep(retryMs);
    const unsettled = [...engines.doubtful];
    for (let tries = 0; tries < acknowledgeTries; tries += 1) {
      if (await writeAcknowledgement(store, domain, { incarnation, epoch, unsettled })) return;
      await clock.sleep(retryMs);
    }
  }

  private recordKey(): string {
    return `domain/${this.options.domain}/record`;
  }

  private shareOf(limit: number): number {
    const fleet = this.options.fleet?.();
    return fleet === undefined ? limit : domainShare(limit, fleet.engines, fleet.allEngines);
  }

  private loadLimits(): { maxConcurrent: number; perSecond: number } {
    const { loadsAtOnce, loadsPerSecond } = this.settings;
    const fleet = this.options.fleet?.();
    const part = fleet === undefined ? 1 : fleet.engines / Math.max(1, fleet.allEngines);
    const spare = fleet?.spareLoads ?? 0;
    return {
      maxConcurrent: this.shareOf(loadsAtOnce) + spare,
      perSecond: Math.min(loadsPerSecond, loadsPerSecond * part + spare),
    };
  }
}
