import { setMaxListeners } from 'node:events';
import {
  AnswerTimes,
  type Clock,
  LoopTicks,
  type Message,
  NoopTelemetry,
  MonotonicClock,
  PlannedStop,
  SystemRandom,
  type Telemetry,
} from '@currantdrift/core';
import { EndpointDirectory, LimitObserver } from '@currantdrift/fleet';
import {
  defaultForwardSettings,
  type EndpointProtocol,
  EndpointSignals,
  Forwarder,
  ModelUsage,
} from '@currantdrift/forward';
import { PeerConnections, WebSocketNetwork } from '@currantdrift/peer';
import { defaultRateLimitSettings, MemberPermits } from '@currantdrift/rate-limit';
import type { Result } from 'neverthrow';
import { EngineProbe } from '../connection/engine-probe';
import type { EngineControl, ResponseHeadListener } from '../connection/engine-control';
import { LimitAwareEngineControl } from '../connection/limit-aware-engine-control';
import { PauseAwareEngineControl } from '../connection/pause-aware-engine-control';
import { PeerMessageKind } from '../connection/peer-messages';
import { PeerInbox } from '../connection/peer-inbox';
import { DomainNotices } from '../version/domain-notices';
import { membersByRolePriority } from '../version/role-priority';
import { RoundTrips } from '../version/round-trips';
import type { Member, Members } from '../version/members';
import { InventoryBroadcaster } from './inventory-broadcaster';
import type { Controller } from './controller';
import { CrashHandling } from './crash-handling';
import { CustomerHandling } from './customer-handling';
import { EndpointChoice } from './endpoint-choice';
import { HostResources } from './host-resources';
import { ControllerElection } from './controller-election';
import { ClientHttpServer, type ListenFailure } from './client-http-server';
import type { GatewaySettings } from './gateway-settings';
import { awaitClients, stopDurations } from './graceful-stop';
import { LeavingNotices } from './leaving-notices';
import { ControllerModelWaker } from './controller-model-waker';
import { ControllerTerms } from './controller-terms';
import { registerPeerHandlers } from './peer-handlers';
import { PermitService } from './permit-service';
import { Registration } from './registration';
import { RetryBudgets } from './retry-budgets';
import { serveMetrics, serveReadiness } from './status-server';
import { StoreCache, type StoreLayout } from './store-cache';
import { StreamHandling } from './stream-handling';
import { UsageReporter } from './usage-reporter';

/** Interface between a gateway and the platform that it runs on. */
export interface GatewayPlatform extends StoreLayout {
  readonly protocol: EndpointProtocol;
  /** Creates the engine control; the head of each response is passed to `onHead`. */
  readonly createControl: (onHead: ResponseHeadListener, clock: Clock) => EngineControl;
}

export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly platform: GatewayPlatform;
  readonly telemetry: Telemetry;
  readonly metrics: { readonly text: () => Promise<string>; readonly contentType: string };
}

/** Interval between checks whether the process is ready, in ms. */
const readyPollMs = 100;

/** A gateway process: serves clients and takes part in the control of the engines. */
export class Gateway {
  private readonly clock: Clock = MonotonicClock.create();

  private readonly directory = EndpointDirectory.create();

  private readonly choice: EndpointChoice;

  private readonly usage = ModelUsage.create();

  private readonly resources: HostResources;

  private readonly stopped = new AbortController();

  private readonly closing = new AbortController();

  private readonly answerTimes = AnswerTimes.create();

  private readonly ticks = LoopTicks.create(this.clock.now());

  private readonly plannedStop: PlannedStop;

  private readonly storeCache: StoreCache;

  private readonly self: Member;

  private readonly peers: PeerConnections;

  private readonly clientServer: ClientHttpServer;

  private readonly forwarder: Forwarder;

  private readonly election: ControllerElection;

  private readonly registration: Registration;

  private readonly inventoryBroadcaster: InventoryBroadcaster;

  private readonly leavingNotices: LeavingNotices;

  private readonly limits: LimitObserver;

  private readonly signals: EndpointSignals;

  private readonly control: EngineControl;

  private readonly permitService: PermitService;

  private readonly permits: MemberPermits;

  private readonly customerHandling: CustomerHandling;

  private readonly crashHandling: CrashHandling;

  private readonly streamHandling: StreamHandling;

  private readonly send = (address: string, message: Message): void =>
    this.peers.notify(address, message);

  private readonly terms: ControllerTerms;

  private constructor(private readonly options: GatewayOptions) {
    const { settings, platform, telemetry } = options;
    // Every waiting request adds a listener, so the default limit would print warnings.
    setMaxListeners(0, this.stopped.signal, this.closing.signal);
    this.resources = HostResources.create(settings.limits ?? {}, telemetry);
    const { memory, shares } = this.resources;
    this.plannedStop = PlannedStop.create(stopDurations(settings.graceMs), this.answerTimes);
    const { host, peerAddress: address, domain, processors } = settings;
    this.self = { host, address, domain, processors };
    this.choice = EndpointChoice.create({
      clock: this.clock,
      telemetry,
      directory: this.directory,
      members: () => this.members.all().length,
      configuration: () => this.storeCache.configuration,
      queuesWhenFull: settings.queuesWhenFull ?? false,
    });
    this.peers = PeerConnections.create({
      network: WebSocketNetwork.create({ maxConnections: shares.peerConnections, memory }),
      clock: this.clock,
      address: settings.peerAddress,
      telemetry: NoopTelemetry.create(),
    });
    this.storeCache = StoreCache.create({
      layout: platform,
      clock: this.clock,
      telemetry,
      self: this.self,
      propagationLimitMs: settings.changeBoundMs,
      peers: this.peers,
      directory: this.directory,
      onConfiguration: ({ limits }) => this.clientServer.limit(limits),
      daemonEntries: () => [this.crashHandling.stored, this.streamHandling.versions],
    });
    const { clock, self, members, directory, send } = this;
    this.inventoryBroadcaster = InventoryBroadcaster.create({
      clock,
      self,
      members,
      directory,
      send,
      onLimits: (limits) => this.limits.applyReports(limits, 'controller'),
      onLoads: (loads) => this.choice.observeFleetLoads(loads),
      hasReported: (member) => this.controller?.hasReported(member) ?? false,
    });
    const notices = DomainNotices.create({ clock, self, members, send });
    this.leavingNotices = LeavingNotices.create({ telemetry, directory, notices });
    this.limits = LimitObserver.create({ clock, telemetry, limits: directory.limits });
    this.signals = EndpointSignals.create({
      clock,
      telemetry,
      protocol: platform.protocol,
      directory,
      limits: this.limits,
      onLeaving: (record) => this.leavingNotices.publish(record),
    });
    const control = platform.createControl(
      (record, head, sentAt) => this.signals.observe(record, head, sentAt),
      clock,
    );
    this.permitService = this.createPermitService();
    this.customerHandling = CustomerHandling.create({
      clock,
      random: SystemRandom.create(),
      telemetry,
      peers: this.peers,
      self,
      settings,
      storeCache: this.storeCache,
      retrySpread: this.choice.retrySpread,
    });
    this.permits = MemberPermits.create({
      clock,
      random: SystemRandom.create(),
      settings: defaultRateLimitSettings,
      issuer: this.permitService,
      members: () => members.all().length,
    });
    this.control = LimitAwareEngineControl.create({
      control: PauseAwareEngineControl.create(control, directory, clock),
      limits: directory.limits,
      permits: this.permits,
      clock,
      telemetry,
    });
    this.crashHandling = CrashHandling.create({
      store: platform.store,
      clock,
      random: SystemRandom.create(),
      telemetry,
      notices,
      probe: EngineProbe.create(this.control, directory, clock),
      members: () => members.all().length,
    });
    this.streamHandling = StreamHandling.create({
      store: platform.store,
      clock,
      random: SystemRandom.create(),
      telemetry,
      directory,
      self,
      members,
      peers: this.peers,
      send,
      configuration: () => this.storeCache.configuration,
      timeOfDay: () => Date.now(),
      maxRecordAgeMs: settings.changeBoundMs,
      recordAgeMs: (now) => this.storeCache.daemonEntriesAgeMs(now),
    });
    this.forwarder = this.createForwarder();
    this.clientServer = ClientHttpServer.create(
      (request, response) => this.forwarder.handle(request, response),
      (error) => telemetry.log('request.error', { reason: String(error) }),
      {
        maxConnections: shares.clientConnections,
        perAddress: settings.limits?.connectionsPerAddress,
      },
      memory.report,
    );
    this.terms = this.createTerms();
    this.election = this.createElection();
    this.registration = Registration.create({
      store: platform.store,
      clock,
      telemetry,
      member: self,
      onReplaced: () => this.customerHandling.quotas.service.resume(clock.now()),
    });
  }

  static create(options: GatewayOptions): Gateway {
    return new Gateway(options);
  }

  private get controller(): Controller | undefined {
    return this.terms.controller;
  }

  private get members(): Members {
    return this.storeCache.members;
  }

  /** Opens the listening ports and starts the background tasks. */
  async start(): Promise<Result<void, ListenFailure>> {
    const { settings, telemetry, metrics } = this.options;
    const inbox = PeerInbox.create(this.peers, telemetry);
    const { permitService, inventoryBroadcaster, leavingNotices, election } = this;
    registerPeerHandlers(inbox, {
      controller: () => this.controller,
      permitService,
      quotas: this.customerHandling.quotas.service,
      inventoryBroadcaster,
      leavingNotices,
      crashNotices: this.crashHandling.notices,
      streams: this.streamHandling.ledger,
      election,
    });
    this.storeCache.registerHandlers(inbox);
    const listened = await this.clientServer.listen(settings.clientAddress);
    if (listened.isErr()) return listened;
    const limit = {
      maxConnections: this.resources.shares.statusConnections,
      report: this.resources.memory.report,
    };
    const ready = await serveReadiness(
      settings.readyAddress,
      settings.readyPath,
      () => this.isReady(),
      limit,
    );
    if (ready.isErr()) return ready;
    const served = await serveMetrics(settings.metricsAddress, metrics, limit);
    if (served.isErr()) return served;
    const listening = await this.peers.listen();
    if (listening.isErr()) {
      telemetry.log('peers.unavailable', { reason: listening.error.message });
    }
    this.ticks.start(this.clock);
    this.startTasks();
    telemetry.log('start', { domain: settings.domain, firstStart: settings.firstStart });
    return served;
  }

  /** Gives up its roles at once, serves requests meanwhile, and returns within the grace period. */
  async stop(): Promise<void> {
    const { telemetry } = this.options;
    const startedAt = this.clock.now();
    this.plannedStop.begin(this.ticks.signalledAfter, startedAt);
    this.clientServer.beginStop();
    this.stopped.abort();
    telemetry.log('stop', { openRequests: this.forwarder.openRequests });
    this.runInBackground(this.registration.leave());
    await awaitClients({
      clock: this.clock,
      stop: this.plannedStop,
      closeIdle: () => this.clientServer.closeIdle(),
      stopAccepting: () => {
        this.closing.abort();
        this.clientServer.stopAccepting();
      },
      connections: () => this.clientServer.connections(),
    });
    telemetry.log('stopped', {
      openRequests: this.forwarder.openRequests,
      elapsedMs: Math.round(this.clock.now() - startedAt),
    });
    this.forwarder.cutAll();
  }

  /** Whether a configuration and at least one endpoint are known, and the process is not stopping. */
  private isReady(): boolean {
    return (
      !this.plannedStop.isStopping &&
      this.storeCache.configuration !== undefined &&
      this.directory.all().length > 0
    );
  }

  private createForwarder(): Forwarder {
    const { platform, settings, telemetry } = this.options;
    const budgets = RetryBudgets.create(settings, () => this.members.all().length);
    const roundTrips = RoundTrips.create(settings.domain, settings.regions);
    return Forwarder.create({
      clock: this.clock,
      telemetry,
      settings: defaultForwardSettings,
      protocol: platform.protocol,
      authorizer: this.customerHandling.authorizer,
      directory: this.directory,
      signals: this.signals,
      balancer: this.choice.balancer,
      admission: this.choice.admission,
      usage: this.usage,
      permits: this.permits,
      crashes: this.crashHandling.watch,
      streamVersions: this.streamHandling.ledger,
      stopping: this.stopped.signal,
      closing: this.closing.signal,
      stop: this.plannedStop,
      answerTimes: this.answerTimes,
      waker: ControllerModelWaker.create(
        this.peers,
        this.members,
        this.self,
        () => this.controller,
      ),
      retrySpread: this.choice.retrySpread,
      quotas: this.customerHandling.quotas.admission,
      configuration: () => this.storeCache.configuration,
      configurationAgeMs: (now) => this.storeCache.configurationAgeMs(now),
      clientMemory: this.resources.memory,
      client: (record) => this.resources.endpointClients.of(record),
      budget: (service) => budgets.of(service),
      roundTripMs: (domain) => roundTrips.to(domain),
    });
  }

  private createPermitService(): PermitService {
    const { clock, peers, self, members, directory } = this;
    return PermitService.create({
      clock,
      peers,
      self,
      members,
      limits: directory.limits,
      settings: defaultRateLimitSettings,
      onLimits: (limits, from) => this.limits.applyReports(limits, from),
      mayIssue: () => this.election.mayOrder(clock.now()),
    });
  }

  private createTerms(): ControllerTerms {
    const { clock, control, directory, inventoryBroadcaster, permitService, self } = this;
    return ControllerTerms.create({
      clock,
      telemetry: this.options.telemetry,
      host: self.host,
      control,
      directory,
      inventoryBroadcaster,
      permitService,
      configuration: () => this.storeCache.configuration,
      mayOrder: () => this.election.mayOrder(clock.now()),
      onLimits: (limits, from) => this.limits.applyReports(limits, from),
      onResignation: (resignation) =>
        this.broadcast({ kind: PeerMessageKind.resigned, ...resignation }),
      runInBackground: (task) => this.runInBackground(task),
    });
  }

  private createElection(): ControllerElection {
    const { settings, platform, telemetry } = this.options;
    return ControllerElection.create({
      store: platform.store,
      clock: this.clock,
      timeOfDay: () => Date.now(),
      telemetry,
      self: this.self,
      members: this.members,
      holderPauseMs: settings.holderPauseMs,
      firstStart: settings.firstStart,
      rank: () => this.rank(),
      onBegin: (term) => this.terms.begin(term),
      onEnd: (fence) => this.terms.end(fence),
    });
  }

  private startTasks(): void {
    const { signal } = this.stopped;
    // A stopping process still serves requests and so follows the store; only its roles end.
    const forever = new AbortController().signal;
    this.runInBackground(this.storeCache.run(forever));
    this.runInBackground(this.createUsageReporter().run(forever));
    this.runInBackground(this.choice.run(forever));
    this.runInBackground(this.customerHandling.run(forever));
    this.runInBackground(this.crashHandling.stored.run(forever));
    this.runInBackground(this.streamHandling.run(forever));
    this.runInBackground(this.registration.run(signal));
    this.runInBackground(this.runElection(signal));
  }

  private createUsageReporter(): UsageReporter {
    const { clock, self, members, usage } = this;
    return UsageReporter.create({
      clock,
      self,
      members,
      usage,
      limits: this.directory.limits,
      isRelay: () => this.storeCache.feed.isRelay(),
      localController: () => this.controller,
      send: this.send,
    });
  }

  /** Takes part in the controller election once the process is ready. */
  private async runElection(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.isReady()) await this.clock.sleep(readyPollMs, signal);
    await this.election.run(signal);
  }

  private runInBackground(task: Promise<void>): void {
    task.catch((error: unknown) => {
      this.options.telemetry.log('task.error', { reason: String(error) });
    });
  }

  private broadcast(message: Message): void {
    this.members.others(this.self.host).forEach(({ address }) => this.send(address, message));
  }

  private rank(): number {
    const order = membersByRolePriority('controller', this.members.all());
    return Math.max(
      0,
      order.findIndex(({ host }) => host === this.self.host),
    );
  }
}
