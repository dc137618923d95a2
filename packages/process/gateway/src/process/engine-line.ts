import { type Clock, describeFailure, HostState, type Telemetry } from '@currantdrift/core';
import type { EndpointRecord, EngineReport, HeldModel, ModelCopies } from '@currantdrift/fleet';
import {
  adapterKey,
  type AdapterStep,
  type EngineView,
  type LoadStep,
  type Operation,
} from '@currantdrift/residency';
import { type EngineControl, type EngineOrder, OrderAnswer } from '../connection/engine-control';

/** Pause between two tries of an order, and between two reports while a load ends, in ms. */
const retryMs = 100;
const pollMs = 120;

/** First tries of an order after a conflict, and the pause between them in ms. */
const quickTries = 2;
const quickRetryMs = 50;

/** Pause between two reports of an engine that does not answer, in ms. */
const downPollMs = 400;

/** Age up to which what a report says may be, in ms. */
const reportLagMs = 600;

/** Time for the first report of an engine, in ms. */
const startMs = 500;

/** Pause between the stop of requests to a model and its unload, in ms. */
const settleMs = 25;

/** Time after its order within which an adapter is ready, in ms. */
const adapterReadyMs = 40;

/** Tries of one order, and time in ms beyond the expected end, after which a step is given up. */
const maxTries = 40;
const overdueMs = 15_000;

/** What the orders of one engine need from their controller. */
export interface EngineLineOptions {
  readonly control: EngineControl;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly holder: string;
  readonly fence: number;
  /** Whether an order may be sent now. */
  readonly mayOrder: () => boolean;
  /** Earliest time of the first order, in ms. */
  readonly quietUntil: number;
  /** Called when a load from the weight store has ended, with its time at full speed, in ms. */
  readonly onRemoteLoad: (fullSpeedMs: number, tookMs: number) => void;
  /** Called after each change of what the engine holds or does. */
  readonly onChange: () => void;
}

/** An order before its count, holder and token are known. */
interface WantedOrder {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  readonly adapter?: string;
}

/** One engine under the orders of this controller. Orders to it are sent one after the other. */
export class EngineLine {
  private models: readonly HeldModel[];

  private unloading: readonly HeldModel[] = [];

  private copies: ModelCopies;

  private operation: Operation | undefined;

  private orderCount: number | undefined;

  private orderedAt: number | undefined;

  private acceptedAt = -Infinity;

  /** End of the loads and unloads asked for so far, and of the orders being sent. */
  private tail: Promise<void> = Promise.resolve();

  private sending: Promise<unknown> = Promise.resolve();

  /** Adapters whose load was asked for and is not done, as `model/adapter`. */
  private readonly adapterLoads = new Set<string>();

  private closed = false;

  /** True while the engine does not answer. */
  private down = false;

  private constructor(
    private record: EndpointRecord,
    private readonly options: EngineLineOptions,
  ) {
    this.models = record.models ?? [];
    this.copies = record.copies;
  }

  static create(record: EndpointRecord, options: EngineLineOptions): EngineLine {
    return new EngineLine(record, options);
  }

  /** Start of the engine that the line belongs to. */
  get bornAt(): number {
    return this.record.bornAt;
  }

  /** Models that requests may be sent for. */
  get served(): readonly HeldModel[] {
    return this.models;
  }

  /** Time of the last order, in ms. */
  get lastOrderAt(): number | undefined {
    return this.orderedAt;
  }

  /** Whether the engine's own report was read and orders may be planned. */
  get isReady(): boolean {
    return this.orderCount !== undefined;
  }

  view(inFlight: ReadonlyMap<string, number>, now: number): EngineView {
    const { id, service, domain, state, remainingMs } = this.record;
    const readyAt = this.options.quietUntil + startMs;
    const isSilent = !this.isReady && now > readyAt + startMs;
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
      operation: this.isReady
        ? this.operation
        : { kind: 'pause', model: '', endsAt: readyAt, remote: false },
      adapterLoads: this.adapterLoads,
      inFlight,
    };
  }

  /** Takes the engine's newer entry of the same start. */
  update(record: EndpointRecord): void {
    this.record = record;
    if (this.operation === undefined && record.copies.onDisk.length > 0) {
      this.copies = record.copies;
    }
  }

  /** Checks whether the engine answers; until it does, it is planned without. */
  probe(): void {
    if (this.down || this.closed) return;
    this.down = true;
    this.options.telemetry.log('engine.doubted', { endpoint: this.record.id });
    this.guard(this.awaitReturn());
  }

  private async awaitReturn(): Promise<void> {
    let failures = 0;
    while (!this.closed && (await this.read()) === undefined) {
      failures += 1;
      await this.options.clock.sleep(downPollMs);
    }
    this.down = false;
    if (failures > 0) {
      this.options.telemetry.log('engine.returned', { endpoint: this.record.id, failures });
    }
    this.options.onChange();
  }

  /** Gives no further order. */
  close(): void {
    this.closed = true;
  }

  /** Reads what the engine holds, once no earlier holder can change it. */
  start(): void {
    const { clock, quietUntil } = this.options;
    this.enqueue(async () => {
      await clock.sleep(Math.max(0, quietUntil - clock.now()));
      await this.resync();
    });
  }

  load(step: LoadStep): void {
    const now = this.options.clock.now();
    const leaving = this.models.filter(({ name }) => step.unload.includes(name));
    this.models = this.models.filter(({ name }) => !step.unload.includes(name));
    this.unloading = [...this.unloading, ...leaving];
    this.operation = {
      kind: 'load',
      model: step.model,
      endsAt: now + step.loadMs + step.unload.length * pollMs,
      remote: step.source === 'remote',
    };
    this.options.onChange();
    this.enqueue(async () => {
      await this.carryOut(step);
      this.operation = undefined;
      this.unloading = [];
      this.options.onChange();
    });
  }

  adapter(step: AdapterStep): void {
    const { model, adapter } = step;
    step.unload.forEach((victim) => {
      this.change(victim.model, (held) => held.filter((name) => name !== victim.adapter));
    });
    this.adapterLoads.add(adapterKey(model, adapter));
    this.options.onChange();
    this.guard(this.carryOutAdapter(step)).finally(() => {
      this.adapterLoads.delete(adapterKey(model, adapter));
    });
  }

  private async carryOutAdapter({ model, adapter, unload }: AdapterStep): Promise<void> {
    const orders: WantedOrder[] = [
      ...unload.map((victim) => ({ kind: 'unload', ...victim }) as const),
      { kind: 'load', model, adapter },
    ];
    for (const order of orders) {
      if (!(await this.submit(order))) {
        await this.rereadAdapters();
        return;
      }
    }
    await this.options.clock.sleep(adapterReadyMs);
    this.change(model, (held) => [...held, adapter]);
    this.options.onChange();
  }

  /** Takes the adapters from the engine's report, after an order for one was given up. */
  private async rereadAdapters(): Promise<void> {
    await this.options.clock.sleep(reportLagMs);
    const report = await this.read();
    if (report === undefined) return;
    const reported = new Map(report.models.map((held) => [held.name, held]));
    this.models = this.models.map((held) => reported.get(held.name) ?? held);
    this.options.onChange();
  }

  private change(model: string, update: (adapters: readonly string[]) => string[]): void {
    this.models = this.models.map((held) =>
      held.name === model ? { name: model, adapters: update(held.adapters) } : held,
    );
  }

  private enqueue(task: () => Promise<void>): void {
    this.tail = this.guard(this.tail.then(task));
  }

  private guard(work: Promise<void>): Promise<void> {
    return work.catch((error: unknown) => {
      this.options.telemetry.log('engine.error', { endpoint: this.record.id, reason: `${error}` });
    });
  }

  private async carryOut(step: LoadStep): Promise<void> {
    const { clock, telemetry } = this.options;
    const startedAt = clock.now();
    if (step.unload.length > 0) await clock.sleep(settleMs);
    for (const model of step.unload) {
      if (!(await this.submit({ kind: 'unload', model }))) {
        // What was not unloaded is served again.
        this.unloading = [];
        await this.resync();
        return;
      }
    }
    const orderedAt = clock.now();
    const accepted = await this.submit({ kind: 'load', model: step.model });
    if (accepted) {
      // The engine refuses a load while an unload is under way.
      this.unloading = [];
      this.operation = {
        kind: 'load',
        model: step.model,
        endsAt: clock.now() + step.loadMs,
        remote: step.source === 'remote',
      };
      const isHeld = (report: EngineReport) =>
        report.models.some(({ name }) => name === step.model);
      await this.settled(isHeld, step.loadMs);
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
      accepted,
      held: this.models.some(({ name }) => name === step.model),
      expectedMs: Math.round(step.loadMs),
      unloadMs: Math.round(orderedAt - startedAt),
      loadMs: Math.round(clock.now() - orderedAt),
    });
  }

  /** Waits until the engine is idle and reports what `done` asks for, then takes its report. */
  private async settled(done: (report: EngineReport) => boolean, expectedMs: number) {
    const { clock } = this.options;
    const endsAt = clock.now() + expectedMs * 3 + overdueMs;
    await clock.sleep(expectedMs);
    while (!this.closed && clock.now() < endsAt) {
      const report = await this.read();
      if (report !== undefined && !report.busy && done(report)) {
        this.take(report);
        return;
      }
      await clock.sleep(pollMs);
    }
  }

  private async resync(): Promise<void> {
    const { clock } = this.options;
    while (!this.closed) {
      const report = await this.read();
      if (report !== undefined && !report.busy) {
        this.take(report);
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
      orderCount: this.orderCount,
      models: this.models.map(({ name }) => name).join(','),
      inMemory: this.copies.inMemory.join(','),
      onDisk: this.copies.onDisk.join(','),
    });
  }

  private async read(): Promise<EngineReport | undefined> {
    const report = await this.options.control.report(this.record);
    return report.isOk() ? report.value : undefined;
  }

  private take(report: EngineReport): void {
    const leaving = new Set(this.unloading.map(({ name }) => name));
    // Adapters change by own orders only, which a lagging report may not show yet.
    const own = new Map(this.models.map((held) => [held.name, held]));
    this.models = report.models
      .filter(({ name }) => !leaving.has(name))
      .map((held) => (this.orderCount === undefined ? held : (own.get(held.name) ?? held)));
    this.copies = report.copies;
    // A report lags: it must not take back orders that the engine has accepted.
    this.orderCount = Math.max(this.orderCount ?? 0, report.orderCount);
  }

  /** Sends an order until the engine has accepted it; false if it was given up. */
  private submit(wanted: WantedOrder): Promise<boolean> {
    const sent = this.sending.then(() => this.send(wanted));
    this.sending = sent.catch(() => {});
    return sent;
  }

  private async send(wanted: WantedOrder): Promise<boolean> {
    const { clock, control, telemetry, holder, fence, mayOrder } = this.options;
    for (let tries = 1; tries <= maxTries; tries += 1) {
      if (this.closed || !mayOrder()) return false;
      const orderCount = this.orderCount ?? 0;
      const order: EngineOrder = {
        kind: wanted.kind,
        model: wanted.model,
        adapter: wanted.adapter,
        orderCount,
        holder,
        fence,
      };
      this.orderedAt = clock.now();
      const answer = await control.order(this.record, order, mayOrder);
      telemetry.log('order', {
        endpoint: this.record.id,
        ...order,
        tries,
        outcome: answer.isOk() ? answer.value : describeFailure(answer.error),
      });
      if (answer.isOk()) {
        if (answer.value === OrderAnswer.accepted) {
          this.acceptedAt = clock.now();
          this.orderCount = orderCount + 1;
          return true;
        }
        if (answer.value === OrderAnswer.holds) {
          // An adapter is unloaded within the call, which counts as an accepted order.
          if (wanted.kind === 'unload' && wanted.adapter !== undefined) {
            this.acceptedAt = clock.now();
            this.orderCount = orderCount + 1;
          }
          return true;
        }
        if (answer.value !== OrderAnswer.conflict) return false;
      }
      // A conflict soon after an accepted order mostly means that this one is still under way.
      const isEarly = answer.isOk() && tries <= quickTries;
      if (!isEarly && (await this.afterDoubt(wanted, orderCount))) return true;
      await clock.sleep(isEarly ? quickRetryMs : retryMs);
    }
    return false;
  }

  /** Reads the report after an order without a clear answer; true if the order was accepted. */
  private async afterDoubt(wanted: WantedOrder, orderCount: number): Promise<boolean> {
    const report = await this.read();
    if (report === undefined) return false;
    const sinceAccepted = this.options.clock.now() - this.acceptedAt;
    // The engine did not count an order that it answered as done.
    if (sinceAccepted > reportLagMs) this.orderCount = report.orderCount;
    if (report.orderCount <= orderCount) return false;
    this.orderCount = report.orderCount;
    const held = report.models.find(({ name }) => name === wanted.model);
    const present =
      wanted.adapter === undefined
        ? held !== undefined
        : held?.adapters.includes(wanted.adapter) === true;
    return report.busy || present === (wanted.kind === 'load');
  }
}
