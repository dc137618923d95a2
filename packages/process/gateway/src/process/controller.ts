import { type Clock, HostState, type Telemetry } from '@currantdrift/core';
import type { EndpointDirectory, EndpointRecord, LimitReport } from '@currantdrift/fleet';
import type { ModelLoadRequest } from '@currantdrift/forward';
import {
  Demand,
  type EngineView,
  planAdapter,
  planLoad,
  type ResidencySettings,
  type PlanInput,
  type Step,
  AdaptiveLoadLimit,
} from '@currantdrift/residency';
import { type Configuration, knowsModel, type Service } from '@currantdrift/routes';
import type { EngineControl } from '../connection/engine-control';
import type { UsageMessage, LoadRequestResponse } from '../connection/peer-messages';
import { Announcer, type Announcement } from './announcer';
import type { Term } from './controller-election';
import { LoadPromiseRecorder } from './load-promise-recorder';
import { ManagedEngine } from './managed-engine';
import { UnloadDelayEstimator } from './unload-delay-estimator';
import { UsageLedger } from './usage-ledger';

/** Interval between plans if none is requested earlier, in ms. */
const planIntervalMs = 100;

/** Shortest pause between plans, in ms and as a multiple of the duration of the last plan. */
const minPlanPauseMs = 10;
const planRestRatio = 4;

/** Time for which the computed engine views are reused for estimates, in ms. */
const viewCacheMs = 25;

const noFlights: ReadonlyMap<string, number> = new Map();

/** Limit on the steps of each kind that one plan may order. */
const maxStepsPerPlan = 50;

export interface ControllerOptions {
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly control: EngineControl;
  readonly directory: EndpointDirectory;
  readonly configuration: () => Configuration | undefined;
  readonly settings: ResidencySettings;
  readonly holder: string;
  readonly mayOrder: () => boolean;
  /** Receives the request limits that a member reports. */
  readonly onLimits: (limits: readonly LimitReport[], source: string) => void;
  /** Sends an announcement to all members. */
  readonly announce: (fence: number, announcement: Announcement) => void;
}

/** A view of all engines at one time, grouped by service. */
interface EngineViews {
  readonly at: number;
  readonly engines: ReadonlyMap<string, readonly EngineView[]>;
  /** Number of loads from the weight store in progress, over all services. */
  readonly remoteLoads: number;
}

/** Plans which engines hold which models and sends the orders for it, for one term. */
export class Controller {
  private readonly demand = Demand.create();

  private readonly remoteLoadLimit = AdaptiveLoadLimit.create();

  private readonly unloads = UnloadDelayEstimator.create();

  private readonly managedEngines = new Map<string, ManagedEngine>();

  private readonly usage = UsageLedger.create();

  private readonly announcer: Announcer;

  private readonly promises: LoadPromiseRecorder;

  private readonly stopped = new AbortController();

  private wake: (() => void) | undefined;

  /** Whether a new plan was requested since the last one. */
  private isPlanRequested = false;

  private views: EngineViews | undefined;

  private constructor(
    private readonly options: ControllerOptions,
    private readonly term: Term,
  ) {
    this.promises = LoadPromiseRecorder.create(options.telemetry);
    this.announcer = Announcer.create(options.directory.limits, (announcement) =>
      options.announce(term.fence, announcement),
    );
  }

  static create(options: ControllerOptions, term: Term): Controller {
    return new Controller(options, term);
  }

  get fence(): number {
    return this.term.fence;
  }

  /** Plans until the term ends. */
  async run(): Promise<void> {
    const stopListening = this.options.directory.onChange(() => this.onEnginesChanged());
    const { clock } = this.options;
    while (!this.stopped.signal.aborted) {
      const startedAt = clock.now();
      this.planAndAnnounce(startedAt);
      await this.waitForNextPlan(clock.now() - startedAt);
    }
    stopListening();
  }

  /** Ends the term; returns the age of the last order to each engine, in ms. */
  stop(): Record<string, number> {
    this.stopped.abort();
    this.wake?.();
    const now = this.options.clock.now();
    const ages: Record<string, number> = {};
    this.managedEngines.forEach((managed, id) => {
      managed.close();
      if (managed.lastOrderAt !== undefined) ages[id] = now - managed.lastOrderAt;
    });
    return ages;
  }

  /** Registers a waiting request; returns when its model is expected to be ready, or a refusal. */
  want(want: ModelLoadRequest): LoadRequestResponse {
    const { clock, settings } = this.options;
    const now = clock.now();
    const planInput = this.getPlanInput(want.service, now);
    if (planInput === undefined) {
      return {
        kind: 'refused',
        reason: 'the service has no engines in the configuration',
        retryAfterMs: 1000,
      };
    }
    want.unreachable.forEach((id) => this.managedEngines.get(id)?.probe());
    const promise = this.promises.promise(planInput, want, now);
    if (promise === undefined) {
      return {
        kind: 'refused',
        reason: 'the configuration of the service does not name the model',
        retryAfterMs: 1000,
      };
    }
    const { readyMs: readyInMs, retryAfterMs } = promise;
    const refused = readyInMs + settings.firstByteMs > want.timeLeftMs;
    const isFirst = !this.demand.isWaiting(want.request);
    if (refused || isFirst) this.logWant(want, planInput, readyInMs, refused);
    this.demand.addWaiting({
      request: want.request,
      service: want.service,
      model: want.model,
      adapter: want.adapter,
      deadline: now + (refused ? retryAfterMs + settings.firstByteMs : want.timeLeftMs),
      onTimeDeadline: now + want.onTimeLeftMs - settings.firstByteMs,
      priority: want.priority,
      limited: want.limited,
      lastSeenAt: now,
      refused,
    });
    this.requestPlan();
    if (!refused) return { kind: 'expected', readyInMs };
    const reason = `${want.model} cannot be ready before ${Math.round(readyInMs)} ms`;
    return { kind: 'refused', reason, retryAfterMs };
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
      limited: want.limited,
      readyInMs: Math.round(readyInMs),
      timeLeftMs: Math.round(want.timeLeftMs),
      onTimeLeftMs: Math.round(want.onTimeLeftMs),
      outcome: refused ? 'refused' : 'expected',
    });
  }

  recordUsage(message: UsageMessage): void {
    const now = this.options.clock.now();
    this.usage.record(message, now);
    this.options.onLimits(message.limits, message.host);
    const configuration = this.options.configuration();
    message.uses.forEach(({ service, model, adapter, arrivals }) => {
      // A member may have another configuration, or none of the names may exist.
      if (configuration === undefined || !knowsModel(configuration, service, model, adapter))
        return;
      this.demand.recordArrivals(service, model, arrivals, now);
      if (adapter !== undefined) this.demand.recordAdapterUse(service, model, adapter, now);
    });
  }

  /** Whether a member has sent a usage report recently. */
  hasReported(host: string): boolean {
    return this.usage.hasReported(host, this.options.clock.now());
  }

  /** Waits until the next plan is due; requests during the minimum pause are planned together. */
  private async waitForNextPlan(tookMs: number): Promise<void> {
    const { clock } = this.options;
    const restMs = Math.min(planIntervalMs, Math.max(minPlanPauseMs, tookMs * planRestRatio));
    await clock.sleep(restMs);
    if (this.isPlanRequested) {
      this.isPlanRequested = false;
      return;
    }
    const done = new AbortController();
    this.wake = () => done.abort(null);
    await clock.sleep(planIntervalMs - restMs, done.signal);
    this.wake = undefined;
    this.isPlanRequested = false;
  }

  /** Invalidates the engine views after an engine or its known state has changed. */
  private onEnginesChanged(): void {
    this.views = undefined;
    this.requestPlan();
  }

  private requestPlan(): void {
    this.isPlanRequested = true;
    this.wake?.();
  }

  private planAndAnnounce(now: number): void {
    this.updateManagedEngines();
    const services = this.options.configuration()?.services ?? new Map<string, Service>();
    services.forEach((service) => {
      if (service.engines !== undefined) this.plan(service.name, now);
    });
    this.announcer.announceChanges(this.managedEngines, this.usage.flights(now), now);
  }

  private updateManagedEngines(): void {
    const { directory } = this.options;
    const services = this.options.configuration()?.services;
    const engines = directory
      .all()
      .filter(({ service }) => services?.get(service)?.engines !== undefined);
    engines.forEach((record) => this.updateManagedEngine(record));
    const known = new Set(engines.map(({ id }) => id));
    this.managedEngines.forEach((managed, id) => {
      if (known.has(id)) return;
      managed.close();
      this.managedEngines.delete(id);
    });
  }

  private updateManagedEngine(record: EndpointRecord): void {
    const { clock, telemetry, control, directory, holder, mayOrder } = this.options;
    const managed = this.managedEngines.get(record.id);
    if (managed?.bornAt === record.bornAt) {
      managed.update(record);
      return;
    }
    managed?.close();
    if (record.state !== HostState.live) {
      this.managedEngines.delete(record.id);
      return;
    }
    const earliestOrderAt = this.term.earliestOrderAt(record.id);
    const created = ManagedEngine.create(record, {
      control,
      limits: directory.limits,
      clock,
      telemetry,
      holder,
      fence: this.term.fence,
      unloads: this.unloads,
      mayOrder,
      earliestOrderAt,
      onRemoteLoad: (fullSpeedMs, tookMs) =>
        this.remoteLoadLimit.recordLoad(fullSpeedMs, tookMs, this.remoteLoads(clock.now())),
      onChange: () => this.onEnginesChanged(),
    });
    this.managedEngines.set(record.id, created);
    created.start();
  }

  private getPlanInput(service: string, now: number): PlanInput | undefined {
    const pool = this.options.configuration()?.services.get(service)?.engines;
    if (pool === undefined) return undefined;
    const { engines: byService, remoteLoads } = this.engineViews(now);
    const engines = byService.get(service) ?? [];
    const remoteCapacity = this.remoteLoadLimit.maxConcurrent;
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

  /** Number of loads from the weight store in progress, over all services. */
  private remoteLoads(now: number): number {
    return this.engineViews(now).remoteLoads;
  }

  /** The engine views, at most `viewCacheMs` old. */
  private engineViews(now: number): EngineViews {
    if (this.views !== undefined && now - this.views.at < viewCacheMs) return this.views;
    const inFlight = this.usage.inFlight(now);
    const engines = new Map<string, EngineView[]>();
    let remoteLoads = 0;
    this.managedEngines.forEach((managed, id) => {
      const view = managed.view(inFlight.get(id) ?? noFlights, now);
      const others = engines.get(view.service);
      if (others === undefined) engines.set(view.service, [view]);
      else others.push(view);
      if (view.operation?.remote === true) remoteLoads += 1;
    });
    this.views = { at: now, engines, remoteLoads };
    return this.views;
  }

  private plan(service: string, now: number): void {
    this.views = undefined;
    const planInput = this.getPlanInput(service, now);
    if (planInput !== undefined) this.promises.settle(planInput, now);
    this.order(service, now, planLoad, (managed, step) => managed.load(step));
    this.order(service, now, planAdapter, (managed, step) => managed.adapter(step));
  }

  /** Orders the steps of one kind; each step changes the views from which the next one is planned. */
  private order<T extends Step>(
    service: string,
    now: number,
    plan: (planInput: PlanInput, now: number) => T | undefined,
    sendStep: (managed: ManagedEngine, step: T) => void,
  ): void {
    for (let steps = 0; steps < maxStepsPerPlan; steps += 1) {
      const planInput = this.getPlanInput(service, now);
      const step = planInput && plan(planInput, now);
      const managed = step && this.managedEngines.get(step.engine);
      if (step === undefined || managed === undefined) return;
      sendStep(managed, step);
    }
  }
}
