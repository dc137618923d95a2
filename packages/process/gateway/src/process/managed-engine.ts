import { HostState } from '@currantdrift/core';
import type {
  EndpointLimits,
  EndpointRecord,
  EngineReport,
  LoadedModel,
  ModelCopies,
} from '@currantdrift/fleet';
import {
  adapterKey,
  type AdapterStep,
  type EngineView,
  type LoadStep,
  type EngineOperation,
} from '@currantdrift/residency';
import { EngineOrderQueue, OrderOutcome, type EngineOrderOptions } from './engine-order-queue';

/** Interval between report requests to a busy engine, in ms. */
const pollMs = 120;

/** Interval between the first checks whether a load is done, its growth, and its upper bound, in ms. */
const firstConfirmIntervalMs = 60;
const confirmIntervalGrowth = 1.5;
const maxConfirmIntervalMs = 250;

/** Interval between report requests to an engine that does not respond, in ms. */
const unreachablePollMs = 400;

/** Time allowed for the first report of an engine, in ms. */
const firstReportMs = 500;

/** Delay between the last request sent to a model and its unload, in ms. */
const unloadDelayMs = 25;

/** Time an engine needs to make an adapter available after it accepted the load, in ms. */
const adapterReadyMs = 40;

/** Time after three times the expected duration at which a load is abandoned, in ms. */
const loadOverdueMs = 15_000;

/** What a managed engine needs from its controller. */
export interface ManagedEngineOptions extends EngineOrderOptions {
  /** The request limits that engines state. */
  readonly limits: EndpointLimits;
  /** Earliest time at which an order may be sent, in ms. */
  readonly earliestOrderAt: number;
  /** Called after a load from the weight store, with its full-speed and actual duration, in ms. */
  readonly onRemoteLoad: (fullSpeedMs: number, tookMs: number) => void;
  /** Called after each change of the engine's models, adapters or operation. */
  readonly onChange: () => void;
}

/** An engine managed by this controller: tracks its state and executes load steps one at a time. */
export class ManagedEngine {
  private models: readonly LoadedModel[];

  private unloading: readonly LoadedModel[] = [];

  private copies: ModelCopies;

  /** Ends of the ordered loads by model, in ms. */
  private readonly loadedAt = new Map<string, number>();

  private operation: EngineOperation | undefined;

  private readonly orders: EngineOrderQueue;

  /** Resolves when all queued loads and unloads have ended. */
  private pendingTasks: Promise<void> = Promise.resolve();

  /** Adapters that are being loaded, as `model/adapter`. */
  private readonly adapterLoads = new Set<string>();

  /** Adapters whose unload is pending, as `model/adapter`. */
  private readonly adapterUnloads = new Set<string>();

  private closed = false;

  /** True while the engine does not respond. */
  private down = false;

  private constructor(
    private record: EndpointRecord,
    private readonly options: ManagedEngineOptions,
  ) {
    this.models = record.models ?? [];
    this.copies = record.copies;
    this.orders = EngineOrderQueue.create({
      ...options,
      record: () => this.record,
      isClosed: () => this.closed,
      expectsAdapters: (report) => this.expectsAdapters(report),
    });
  }

  static create(record: EndpointRecord, options: ManagedEngineOptions): ManagedEngine {
    return new ManagedEngine(record, options);
  }

  /** Start time of the engine instance that is managed. */
  get bornAt(): number {
    return this.record.bornAt;
  }

  /** Models that requests may be sent to. */
  get served(): readonly LoadedModel[] {
    return this.models;
  }

  /** Time at which the last order was sent, in ms. */
  get lastOrderAt(): number | undefined {
    return this.orders.lastSentAt;
  }

  /** Whether the engine's report was read, so that steps may be planned. */
  get isReady(): boolean {
    return this.orders.count !== undefined;
  }

  view(inFlight: ReadonlyMap<string, number>, now: number): EngineView {
    const { id, service, domain, state, remainingMs } = this.record;
    const readyAt = this.options.earliestOrderAt + firstReportMs;
    const isSilent = !this.isReady && now > readyAt + firstReportMs;
    return {
      id,
      service,
      domain,
      leaving:
        this.closed ||
        this.down ||
        isSilent ||
        state !== HostState.live ||
        remainingMs !== undefined,
      models: this.models,
      unloading: this.unloading,
      copies: this.copies,
      loadedAt: this.loadedAt,
      operation: this.isReady
        ? this.operation
        : { kind: 'pause', model: '', endsAt: readyAt, remote: false },
      adapterLoads: this.adapterLoads,
      inFlight,
      requestLimitPerS: this.options.limits.rate(this.record),
    };
  }

  /** Applies a newer store entry of the same engine instance. */
  update(record: EndpointRecord): void {
    this.record = record;
    if (this.operation === undefined && record.copies.onDisk.length > 0) {
      this.copies = record.copies;
    }
  }

  /** Checks whether the engine responds; until it does, plans leave it out. */
  probe(): void {
    if (this.down || this.closed) return;
    this.down = true;
    this.options.telemetry.log('engine.doubted', { endpoint: this.record.id });
    this.logErrors(this.awaitRecovery());
  }

  private async awaitRecovery(): Promise<void> {
    let failures = 0;
    while (!this.closed && (await this.read()) === undefined) {
      failures += 1;
      await this.options.clock.sleep(unreachablePollMs);
    }
    this.down = false;
    if (failures > 0) {
      this.options.telemetry.log('engine.returned', { endpoint: this.record.id, failures });
    }
    this.options.onChange();
  }

  /** Stops sending orders. */
  close(): void {
    this.closed = true;
  }

  /** Reads the engine's state once no earlier controller can change it. */
  start(): void {
    const { clock, earliestOrderAt } = this.options;
    this.enqueue(async () => {
      await clock.sleep(Math.max(0, earliestOrderAt - clock.now()));
      await this.resync();
    });
  }

  load(step: LoadStep): void {
    const now = this.options.clock.now();
    const leaving = this.models.filter(({ name }) => step.unload.includes(name));
    this.models = this.models.filter(({ name }) => !step.unload.includes(name));
    step.unload.forEach((name) => this.loadedAt.delete(name));
    this.unloading = [...this.unloading, ...leaving];
    this.operation = {
      kind: 'load',
      model: step.model,
      endsAt: now + step.drainMs + step.orderMs + step.loadMs + step.unload.length * pollMs,
      remote: step.source === 'remote',
    };
    this.options.onChange();
    this.enqueue(async () => {
      await this.performLoad(step);
      this.loadedAt.set(step.model, this.options.clock.now());
      this.operation = undefined;
      this.unloading = [];
      this.options.onChange();
    });
  }

  adapter(step: AdapterStep): void {
    const { model, adapter } = step;
    step.unload.forEach((victim) => {
      this.updateAdapters(victim.model, (held) => held.filter((name) => name !== victim.adapter));
      this.adapterUnloads.add(adapterKey(victim.model, victim.adapter));
    });
    this.adapterLoads.add(adapterKey(model, adapter));
    this.options.onChange();
    this.logErrors(this.performAdapterLoad(step)).finally(() => {
      this.adapterLoads.delete(adapterKey(model, adapter));
      this.forgetUnloads(step);
    });
  }

  private async performAdapterLoad(step: AdapterStep): Promise<void> {
    const { model, adapter } = step;
    const hasRoom = await this.unloadAdapters(step);
    const outcome = hasRoom
      ? await this.orders.submit({ kind: 'load', model, adapter })
      : OrderOutcome.abandoned;
    if (outcome === OrderOutcome.abandoned) {
      // Adapters whose unload failed are still loaded.
      this.forgetUnloads(step);
      await this.rereadAdapters();
      return;
    }
    await this.options.clock.sleep(adapterReadyMs);
    this.updateAdapters(model, (held) => [...new Set([...held, adapter])]);
    this.options.onChange();
  }

  /** Unloads adapters to make room for another one; false if an unload was abandoned. */
  private async unloadAdapters({ unload }: AdapterStep): Promise<boolean> {
    for (const victim of unload) {
      const outcome = await this.orders.submit({ kind: 'unload', ...victim });
      if (outcome === OrderOutcome.abandoned) return false;
      this.adapterUnloads.delete(adapterKey(victim.model, victim.adapter));
    }
    return true;
  }

  private forgetUnloads({ unload }: AdapterStep): void {
    unload.forEach((victim) =>
      this.adapterUnloads.delete(adapterKey(victim.model, victim.adapter)),
    );
  }

  /** Refreshes the adapters from the engine's report after an adapter order was abandoned. */
  private async rereadAdapters(): Promise<void> {
    const report = await this.orders.readSettledReport();
    if (report === undefined) return;
    const reported = new Map(report.models.map((held) => [held.name, held.adapters]));
    this.models = this.models.map(({ name, adapters }) => ({
      name,
      adapters: (reported.get(name) ?? adapters).filter(
        (adapter) => !this.adapterUnloads.has(adapterKey(name, adapter)),
      ),
    }));
    this.options.onChange();
  }

  /** Whether every adapter in a report is known here as loaded, being loaded or being unloaded. */
  private expectsAdapters(report: EngineReport): boolean {
    const held = this.models.flatMap(({ name, adapters }) =>
      adapters.map((adapter) => adapterKey(name, adapter)),
    );
    const known = new Set([...held, ...this.adapterLoads, ...this.adapterUnloads]);
    // The adapters of a model that is being unloaded are ignored: they are removed with it.
    const names = new Set(this.models.map(({ name }) => name));
    return report.models
      .filter(({ name }) => names.has(name))
      .flatMap(({ name, adapters }) => adapters.map((adapter) => adapterKey(name, adapter)))
      .every((key) => known.has(key));
  }

  private updateAdapters(model: string, update: (adapters: readonly string[]) => string[]): void {
    this.models = this.models.map((held) =>
      held.name === model ? { name: model, adapters: update(held.adapters) } : held,
    );
  }

  private enqueue(task: () => Promise<void>): void {
    this.pendingTasks = this.logErrors(this.pendingTasks.then(task));
  }

  private logErrors(work: Promise<void>): Promise<void> {
    return work.catch((error: unknown) => {
      this.options.telemetry.log('engine.error', { endpoint: this.record.id, reason: `${error}` });
    });
  }

  private async performLoad(step: LoadStep): Promise<void> {
    const { clock, telemetry } = this.options;
    const startedAt = clock.now();
    if (step.unload.length > 0) await clock.sleep(unloadDelayMs);
    for (const model of step.unload) {
      if ((await this.orders.submit({ kind: 'unload', model })) === OrderOutcome.abandoned) {
        // Models whose unload was abandoned are served again.
        this.unloading = [];
        await this.resync();
        return;
      }
    }
    const orderedAt = clock.now();
    const outcome = await this.orders.submit({ kind: 'load', model: step.model });
    if (outcome !== OrderOutcome.abandoned) {
      // The load was accepted, so the unloads have ended: the engine refuses loads during an unload.
      this.unloading = [];
      this.operation = {
        kind: 'load',
        model: step.model,
        endsAt: clock.now() + step.loadMs,
        remote: step.source === 'remote',
      };
      await this.awaitLoaded(step.model, outcome === OrderOutcome.done ? 0 : step.loadMs);
      if (step.source === 'remote') {
        this.options.onRemoteLoad(step.loadMs, clock.now() - orderedAt);
      }
    } else {
      await this.resync();
    }
    telemetry.count('currantdrift_loads_total', { reason: step.reason, source: step.source });
    telemetry.log('load', {
      endpoint: this.record.id,
      model: step.model,
      reason: step.reason,
      source: step.source,
      unloaded: step.unload.join(','),
      fence: this.options.fence,
      outcome,
      held: this.models.some(({ name }) => name === step.model),
      expectedMs: Math.round(step.loadMs),
      unloadMs: Math.round(orderedAt - startedAt),
      loadMs: Math.round(clock.now() - orderedAt),
    });
  }

  /**
   * Waits until the engine holds the model, then updates the state. The order is repeated at the expected
   * end, because its response shows a finished load sooner than a lagging report. After that a report is
   * read before each further order, and the intervals grow with the delay.
   */
  private async awaitLoaded(model: string, expectedMs: number): Promise<void> {
    const { clock } = this.options;
    const endsAt = clock.now() + expectedMs * 3 + loadOverdueMs;
    let intervalMs = firstConfirmIntervalMs;
    await clock.sleep(expectedMs);
    while (!this.closed && clock.now() < endsAt) {
      if (await this.orders.confirm({ kind: 'load', model })) {
        this.recordLoaded(model);
        return;
      }
      await clock.sleep(intervalMs);
      // Reports lag by more than the first intervals.
      const isReportDue = intervalMs * confirmIntervalGrowth > maxConfirmIntervalMs;
      if (isReportDue && (await this.isReported(model))) return;
      intervalMs = Math.min(maxConfirmIntervalMs, intervalMs * confirmIntervalGrowth);
    }
    // The engine may have executed something else; the next plan must start from its actual state.
    await this.resync();
  }

  /** Whether a report shows the load as done; if so, applies the report. */
  private async isReported(model: string): Promise<boolean> {
    const report = await this.read();
    const isHeld = report?.models.some(({ name }) => name === model) ?? false;
    if (report === undefined || report.busy || !isHeld) return false;
    this.applyReport(report);
    return true;
  }

  /** Records a finished load, which leaves copies of the weights in memory and on disk. */
  private recordLoaded(model: string): void {
    if (!this.models.some(({ name }) => name === model)) {
      this.models = [...this.models, { name: model, adapters: [] }];
    }
    const { inMemory, onDisk } = this.copies;
    const add = (names: readonly string[]) => [...new Set([...names, model])];
    this.copies = { inMemory: add(inMemory), onDisk: add(onDisk) };
  }

  private async resync(): Promise<void> {
    const { clock } = this.options;
    while (!this.closed) {
      const report = await this.read();
      if (report !== undefined && !report.busy) {
        this.applyReport(report);
        this.logState();
        this.options.onChange();
        return;
      }
      await clock.sleep(pollMs);
    }
  }

  private logState(): void {
    this.options.telemetry.log('engine', {
      endpoint: this.record.id,
      orderCount: this.orders.count,
      models: this.models.map(({ name }) => name).join(','),
      inMemory: this.copies.inMemory.join(','),
      onDisk: this.copies.onDisk.join(','),
    });
  }

  private async read(): Promise<EngineReport | undefined> {
    const report = await this.options.control.report(this.record);
    return report.isOk() ? report.value : undefined;
  }

  private applyReport(report: EngineReport): void {
    const leaving = new Set(this.unloading.map(({ name }) => name));
    // Only this controller's orders change adapters, and a lagging report may not show them yet.
    const own = new Map(this.models.map((held) => [held.name, held]));
    this.models = report.models
      .filter(({ name }) => !leaving.has(name))
      .map((held) => (this.isReady ? (own.get(held.name) ?? held) : held));
    this.copies = report.copies;
    this.orders.mergeReportedCount(report.orderCount);
  }
}
