import { type Clock, HostState, type Telemetry } from '@currantdrift/core';
import type { EndpointDirectory, EndpointRecord, Inventory } from '@currantdrift/fleet';
import type { ModelLoadRequest } from '@currantdrift/forward';
import {
  adapterKey,
  Demand,
  type EngineView,
  planAdapter,
  planLoad,
  estimateReadyMs,
  type ResidencySettings,
  type PlanInput,
  type Step,
  AdaptiveLoadLimit,
} from '@currantdrift/residency';
import type { Configuration, Service } from '@currantdrift/routes';
import type { EndpointLoad } from '@currantdrift/routing';
import type { EngineControl } from '../connection/engine-control';
import type { UsageMessage, WantAnswer } from '../connection/peer-messages';
import type { Term } from './controller-term';
import { EngineLine } from './engine-line';
import { UnloadPace } from './unload-pace';

/** Pause between two plans when nothing asks for one earlier, in ms. */
const planMs = 100;

/** Shortest pause between two plans, in ms, and as a multiple of the time that the last one took. */
const minPlanPauseMs = 10;
const planRestRatio = 4;

/** Age up to which the state of the engines is used for another estimate, in ms. */
const viewLifetimeMs = 25;

/** Time after which what engines serve is announced again without a change, in ms. */
const announceMs = 2_000;

/** Shortest pause between two announcements, in ms. */
const minAnnouncePauseMs = 100;

/** Pause between two announcements of the requests in flight, in ms. */
const loadsMs = 300;

/** Age of a member's last report up to which it counts as heard, in ms. */
const heardMs = 1_500;

/** Age of a usage report from which its requests in flight no longer count, in ms. */
const usageLifetimeMs = 5_000;

const noFlights: ReadonlyMap<string, number> = new Map();

/** Steps that one plan may order. */
const maxSteps = 50;

export interface ControllerOptions {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly control: EngineControl;
  readonly directory: EndpointDirectory;
  readonly configuration: () => Configuration | undefined;
  readonly settings: ResidencySettings;
  readonly holder: string;
  readonly mayOrder: () => boolean;
  /** Sends what engines serve to all daemons. */
  readonly announce: (
    fence: number,
    inventories: readonly Inventory[],
    loads: readonly EndpointLoad[],
  ) => void;
}

/** The engines by service at one time. */
interface EngineViews {
  readonly at: number;
  readonly engines: ReadonlyMap<string, readonly EngineView[]>;
  /** Loads from the weight store under way, over all services. */
  readonly remoteLoads: number;
}

/** Decides and orders, for one term, which engines hold which models. */
export class Controller {
  private readonly demand = Demand.create();

  private readonly pace = AdaptiveLoadLimit.create();

  private readonly unloads = UnloadPace.create();

  private readonly lines = new Map<string, EngineLine>();

  private readonly usage = new Map<string, { message: UsageMessage; at: number }>();

  private readonly announced = new Map<string, string>();

  private readonly stopped = new AbortController();

  private wake: (() => void) | undefined;

  /** Whether something has changed since the last plan. */
  private isDue = false;

  private announcedAt = -Infinity;

  private wholeAt = -Infinity;

  private loadsAt = -Infinity;

  private views: EngineViews | undefined;

  private flightCounts:
    | { readonly at: number; readonly counts: ReadonlyMap<string, ReadonlyMap<string, number>> }
    | undefined;

  private constructor(
    private readonly options: ControllerOptions,
    private readonly term: Term,
  ) {}

  static create(options: ControllerOptions, term: Term): Controller {
    return new Controller(options, term);
  }

  get fence(): number {
    return this.term.fence;
  }

  /** Plans until the term ends. */
  async run(): Promise<void> {
    const stopListening = this.options.directory.onChange(() => this.changed());
    const { clock } = this.options;
    while (!this.stopped.signal.aborted) {
      const startedAt = clock.now();
      this.tick(startedAt);
      await this.pause(clock.now() - startedAt);
    }
    stopListening();
  }

  /** Ends the term; gives the age of the last order to each engine, in ms. */
  stop(): Record<string, number> {
    this.stopped.abort();
    this.wake?.();
    const now = this.options.clock.now();
    const ages: Record<string, number> = {};
    this.lines.forEach((line, id) => {
      line.close();
      if (line.lastOrderAt !== undefined) ages[id] = now - line.lastOrderAt;
    });
    return ages;
  }

  /** Takes a request that waits, and says when its model is expected. */
  want(want: ModelLoadRequest): WantAnswer {
    const { clock, settings } = this.options;
    const now = clock.now();
    const situation = this.situation(want.service, now);
    if (situation === undefined) {
      return { kind: 'refused', reason: 'the service is not known', retryAfterMs: 1000 };
    }
    want.unreachable.forEach((id) => this.lines.get(id)?.probe());
    const readyInMs = estimateReadyMs(situation, want.model, want.adapter, now);
    if (readyInMs === undefined) {
      return { kind: 'refused', reason: 'the model is not known', retryAfterMs: 1000 };
    }
    const refused = readyInMs + settings.firstByteMs > want.timeLeftMs;
    const isFirst = !this.demand.isWaiting(want.request);
    if (refused || isFirst) this.logWant(want, situation, readyInMs, refused);
    this.demand.addWaiting({
      request: want.request,
      service: want.service,
      model: want.model,
      adapter: want.adapter,
      deadline: now + (refused ? readyInMs + settings.firstByteMs : want.timeLeftMs),
      onTimeDeadline: now + want.onTimeLeftMs - settings.firstByteMs,
      priority: want.priority,
      lastSeenAt: now,
      refused,
    });
    this.askForPlan();
    if (!refused) return { kind: 'expected', readyInMs };
    const reason = `${want.model} cannot be ready before ${Math.round(readyInMs)} ms`;
    return { kind: 'refused', reason, retryAfterMs: readyInMs };
  }

  private logWant(
    want: ModelLoadRequest,
    { engines, remoteLoads, remoteCapacity }: PlanInput,
    readyInMs: number,
    refused: boolean,
  ): void {
    this.options.telemetry.log('want', {
      id: want.request,
      service: want.service,
      model: want.model,
      adapter: want.adapter,
      fence: this.term.fence,
      version: this.options.configuration()?.version,
      engines: engines.filter(({ leaving }) => !leaving).length,
      occupied: engines.filter(({ operation }) => operation !== undefined).length,
      remoteLoads,
      remoteCapacity,
      readyInMs: Math.round(readyInMs),
      timeLeftMs: Math.round(want.timeLeftMs),
      onTimeLeftMs: Math.round(want.onTimeLeftMs),
      outcome: refused ? 'refused' : 'expected',
    });
  }

  used(message: UsageMessage): void {
    const now = this.options.clock.now();
    this.usage.set(message.host, { message, at: now });
    message.uses.forEach(({ service, model, adapter, arrivals }) => {
      this.demand.recordArrivals(service, model, arrivals, now);
      if (adapter !== undefined) this.demand.recordAdapterUse(service, model, adapter, now);
    });
  }

  /** Whether a member has reported lately. */
  isHeard(host: string): boolean {
    const report = this.usage.get(host);
    return report !== undefined && this.options.clock.now() - report.at < heardMs;
  }

  /** Waits for the next plan; what comes during the rest after the last one is planned together. */
  private async pause(tookMs: number): Promise<void> {
    const { clock } = this.options;
    const restMs = Math.min(planMs, Math.max(minPlanPauseMs, tookMs * planRestRatio));
    await clock.sleep(restMs);
    if (this.isDue) {
      this.isDue = false;
      return;
    }
    const done = new AbortController();
    this.wake = () => done.abort(null);
    await clock.sleep(planMs - restMs, done.signal);
    this.wake = undefined;
    this.isDue = false;
  }

  /** Takes note that engines or what is known of them have changed. */
  private changed(): void {
    this.views = undefined;
    this.askForPlan();
  }

  private askForPlan(): void {
    this.isDue = true;
    this.wake?.();
  }

  private tick(now: number): void {
    this.followEngines();
    const services = this.options.configuration()?.services ?? new Map<string, Service>();
    services.forEach((service) => {
      if (service.engines !== undefined) this.plan(service.name, now);
    });
    this.announceChanges(now);
  }

  private followEngines(): void {
    const { directory } = this.options;
    const services = this.options.configuration()?.services;
    const engines = directory
      .all()
      .filter(({ service }) => services?.get(service)?.engines !== undefined);
    engines.forEach((record) => this.follow(record));
    const known = new Set(engines.map(({ id }) => id));
    this.lines.forEach((line, id) => {
      if (known.has(id)) return;
      line.close();
      this.lines.delete(id);
    });
  }

  private follow(record: EndpointRecord): void {
    const { clock, telemetry, control, holder, mayOrder } = this.options;
    const line = this.lines.get(record.id);
    if (line?.bornAt === record.bornAt) {
      line.update(record);
      return;
    }
    line?.close();
    if (record.state !== HostState.live) {
      this.lines.delete(record.id);
      return;
    }
    const quietUntil = this.term.quietUntil(record.id);
    const created = EngineLine.create(record, {
      control,
      clock,
      telemetry,
      holder,
      fence: this.term.fence,
      unloads: this.unloads,
      mayOrder,
      quietUntil,
      onRemoteLoad: (fullSpeedMs, tookMs) =>
        this.pace.recordLoad(fullSpeedMs, tookMs, this.remoteLoads(clock.now())),
      onChange: () => this.changed(),
    });
    this.lines.set(record.id, created);
    created.start();
  }

  private situation(service: string, now: number): PlanInput | undefined {
    const pool = this.options.configuration()?.services.get(service)?.engines;
    if (pool === undefined) return undefined;
    const { engines: byService, remoteLoads } = this.engineViews(now);
    const engines = byService.get(service) ?? [];
    const remoteCapacity = this.pace.maxConcurrent;
    const { demand } = this;
    const beforeDemand = this.term.isFirst && demand.isIdle(now);
    const { settings } = this.options;
    return {
      service,
      pool,
      engines,
      demand,
      remoteLoads,
      remoteCapacity,
      beforeDemand,
      settings,
    };
  }

  /** Loads from the weight store under way, over all services. */
  private remoteLoads(now: number): number {
    return this.engineViews(now).remoteLoads;
  }

  /** The engines as they are or were a moment ago. */
  private engineViews(now: number): EngineViews {
    if (this.views !== undefined && now - this.views.at < viewLifetimeMs) return this.views;
    const inFlight = this.inFlight(now);
    const engines = new Map<string, EngineView[]>();
    let remoteLoads = 0;
    this.lines.forEach((line, id) => {
      const view = line.view(inFlight.get(id) ?? noFlights, now);
      const others = engines.get(view.service);
      if (others === undefined) engines.set(view.service, [view]);
      else others.push(view);
      if (view.operation?.remote === true) remoteLoads += 1;
    });
    this.views = { at: now, engines, remoteLoads };
    return this.views;
  }

  /** Requests in flight by engine, then by model and by adapter, as they are or were a moment ago. */
  private inFlight(now: number): ReadonlyMap<string, ReadonlyMap<string, number>> {
    const known = this.flightCounts;
    if (known !== undefined && now - known.at < viewLifetimeMs) return known.counts;
    const counts = this.countFlights(now);
    this.flightCounts = { at: now, counts };
    return counts;
  }

  private countFlights(now: number): Map<string, Map<string, number>> {
    const byEngine = new Map<string, Map<string, number>>();
    this.flights(now).forEach(({ endpoint, model, adapter, count }) => {
      const counts = byEngine.get(endpoint) ?? new Map<string, number>();
      byEngine.set(endpoint, counts);
      counts.set(model, (counts.get(model) ?? 0) + count);
      if (adapter === undefined) return;
      const key = adapterKey(model, adapter);
      counts.set(key, (counts.get(key) ?? 0) + count);
    });
    return byEngine;
  }

  /** Requests in flight as the members last reported them; forgets old reports. */
  private flights(now: number): UsageMessage['flights'] {
    this.usage.forEach(({ at }, host) => {
      if (now - at > usageLifetimeMs) this.usage.delete(host);
    });
    return [...this.usage.values()].flatMap(({ message }) => message.flights);
  }

  private plan(service: string, now: number): void {
    this.views = undefined;
    this.order(service, now, planLoad, (line, step) => line.load(step));
    this.order(service, now, planAdapter, (line, step) => line.adapter(step));
  }

  /** Orders the steps of one kind; each order changes the views that the next step is planned from. */
  private order<T extends Step>(
    service: string,
    now: number,
    plan: (situation: PlanInput, now: number) => T | undefined,
    give: (line: EngineLine, step: T) => void,
  ): void {
    for (let steps = 0; steps < maxSteps; steps += 1) {
      const situation = this.situation(service, now);
      const step = situation && plan(situation, now);
      const line = step && this.lines.get(step.engine);
      if (step === undefined || line === undefined) return;
      give(line, step);
    }
  }

  /** Tells all members what has changed; changes that come together are told together. */
  private announceChanges(now: number): void {
    if (now - this.announcedAt < minAnnouncePauseMs) return;
    const inventories = this.changedInventories(now);
    const loads = this.currentLoads(now);
    if (inventories.length === 0 && loads.length === 0) return;
    this.announcedAt = now;
    this.options.announce(this.term.fence, inventories, loads);
  }

  /** What engines serve, if it has changed; from time to time of all. */
  private changedInventories(now: number): Inventory[] {
    const whole = now - this.wholeAt >= announceMs;
    if (whole) this.wholeAt = now;
    return [...this.lines.entries()]
      .filter(([, line]) => line.isReady)
      .map(([endpoint, line]) => ({ endpoint, bornAt: line.bornAt, models: line.served }))
      .filter((inventory) => {
        const text = JSON.stringify(inventory);
        const isNew = this.announced.get(inventory.endpoint) !== text;
        this.announced.set(inventory.endpoint, text);
        return isNew || whole;
      });
  }

  /** Requests in flight at each engine, from time to time. */
  private currentLoads(now: number): EndpointLoad[] {
    if (now - this.loadsAt < loadsMs) return [];
    this.loadsAt = now;
    const counts = new Map([...this.lines.keys()].map((id) => [id, 0]));
    this.flights(now).forEach(({ endpoint, count }) => {
      const before = counts.get(endpoint);
      if (before !== undefined) counts.set(endpoint, before + count);
    });
    return [...counts].map(([endpoint, inFlight]) => ({ endpoint, inFlight }));
  }
}
