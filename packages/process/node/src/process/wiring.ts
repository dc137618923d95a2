import { AdmissionQueues } from '@currantdrift/admission';
import { RetryBudget } from '@currantdrift/attempt';
import { ClaimLedger } from '@currantdrift/booking';
import { BundleExchange, BundleHolder, BundleReader } from '@currantdrift/bundle';
import { AnswerTimes, type Host, HostKind, PlannedStop, type Waker } from '@currantdrift/core';
import {
  DomainLinks,
  DomainSummaries,
  EndpointDirectory,
  Membership,
  MemberStatus,
  Watchers,
} from '@currantdrift/membership';
import { EndpointLimits, LimitObserver } from '@currantdrift/fleet';
import { PeerConnections } from '@currantdrift/peer';
import { Controller, defaultPlacementSettings, GapHistogram } from '@currantdrift/placement';
import { CrashLedger, CrashWatch, EngineState } from '@currantdrift/quarantine';
import { defaultRateLimitSettings, MemberPermits } from '@currantdrift/rate-limit';
import { Balancer, type Lease, PrefixIndex } from '@currantdrift/routing';
import { CallerEntry } from '../request/caller-entry';
import { LimitedEndpointConnector } from '../request/limited-endpoint-connector';
import { acquireLease } from '../request/replica-chooser';
import { ControllerTask } from './controller-task';
import { CrashFacts } from './crash-facts';
import { CrashLinks } from './crash-links';
import { DomainPermits } from './domain-permits';
import { DrainMarks } from './drain-marks';
import { EndpointCache } from './endpoint-cache';
import { EndpointProbe } from './endpoint-probe';
import { HostTask } from './host-task';
import { itemCosts } from './item-costs';
import { KnownDomains } from './known-domains';
import { MemberState } from './member-state';
import { ObservedStore } from './observed-store';
import { RestoreTask } from './restore-task';
import { RestoreTracker } from './restore-tracker';
import type { NodeOptions } from './node-options';
import { RelayTask } from './relay-task';
import { RoutableView } from './routable-view';
import { serveWakes, WakeClient } from './wake-client';

/** Number of steps in which the share of free memory is reported. */
const freeMemoryLevels = 8;

/** Share of the domain's accelerator memory that is free, in eighths, rounded down. */
const freeMemoryLevel = (directory: EndpointDirectory): number => {
  const engines = directory.endpoints();
  const memory = engines.reduce((sum, { memoryBytes }) => sum + memoryBytes, 0);
  const used = engines.flatMap(({ items }) => items).reduce((sum, { bytes }) => sum + bytes, 0);
  return memory === 0 ? 0 : Math.floor((freeMemoryLevels * Math.max(0, memory - used)) / memory);
};

const isEngine = ({ kind }: Host): boolean => kind === HostKind.engine;

/** Creates the components for the bundle, the peer connections and the domain's membership. */
const wireDomain = (options: NodeOptions) => {
  const { clock, random, telemetry, network, address, domain, name } = options;
  const restores = RestoreTracker.create(telemetry);
  const onEra = (era: number) => restores.observe(era, clock.now());
  const store = ObservedStore.create(options.store, telemetry, onEra);
  const hosts = HostTask.create({ ...options, clock, random, telemetry });
  const holder = BundleHolder.create(options.trusted, options.protections?.bundle);
  const reader = BundleReader.create(store, holder);
  let exchange: BundleExchange | undefined;
  const peers = PeerConnections.create({
    network,
    clock,
    address,
    telemetry,
    stamp: () => ({ bundle: holder.version }),
    onStamp: ({ bundle }, from) => exchange?.observeVersion(Number(bundle ?? 0), from, clock.now()),
  });
  exchange = BundleExchange.create({ holder, reader, peers, clock, random, telemetry });
  const membership = Membership.create({
    self: { name, address, operatorAddress: options.operatorAddress, domain },
    peers,
    clock,
    random,
    telemetry,
    contacts: async () => hosts.contacts(),
  });
  const directory = EndpointDirectory.create({ table: membership.dissemination.table, domain });
  const watchers = Watchers.create({
    membership,
    directory,
    connector: options.connector,
    clock,
    random,
    telemetry,
    hosts: () => hosts.hosts,
  });
  const summaries = DomainSummaries.create(membership.dissemination);
  const links = DomainLinks.create({
    membership,
    directory,
    summaries,
    peers,
    clock,
    random,
    telemetry,
    contacts: () => hosts.otherDomainDaemons(),
    status: () => ({ bundleVersion: holder.version, spareLevel: freeMemoryLevel(directory) }),
  });
  const view = RoutableView.create(directory, clock);
  const state = MemberState.create(membership);
  const relay = RelayTask.create({
    store,
    holder,
    reader,
    exchange,
    links,
    membership,
    state,
    clock,
    random,
    telemetry,
  });
  const restoreTask = RestoreTask.create({ tracker: restores, membership, state, clock });
  return {
    store,
    restores,
    restoreTask,
    hosts,
    holder,
    reader,
    exchange,
    peers,
    membership,
    directory,
    watchers,
    summaries,
    links,
    view,
    state,
    relay,
  };
};

type DomainParts = ReturnType<typeof wireDomain>;

/** Part of a limit that the domain controller issues; the endpoint's watcher polls with a tenth. */
const rateLimitSettings = { ...defaultRateLimitSettings, issuedShare: 0.8 };

/** Creates the permits for calls to endpoints that limit their requests. */
const wireLimits = (
  options: NodeOptions,
  { directory, membership, peers }: DomainParts,
  controllers: () => ControllerTask | undefined,
) => {
  const { clock, random, telemetry, connector } = options;
  const stated = EndpointLimits.create(() => {});
  const observer = LimitObserver.create({ clock, telemetry, limits: stated });
  connector.onLimit(({ name, incarnation }, limit, sentAt) =>
    observer.observe({ id: name, bornAt: incarnation }, limit, sentAt),
  );
  const issuer = DomainPermits.create({
    clock,
    peers,
    settings: rateLimitSettings,
    ownEpoch: (now) => controllers()?.soleEpoch(now),
    controllerAddress: () => {
      const holder = controllers()?.holder();
      return typeof holder === 'string' ? holder : undefined;
    },
  });
  const permits = MemberPermits.create({
    clock,
    random,
    settings: rateLimitSettings,
    issuer,
    members: () => membership.alive().length,
  });
  /** The lower of what the endpoint stated to this daemon and to its watcher. */
  const limitOf = ({ name, incarnation }: Host): number | undefined => {
    if (options.protections?.requestLimits === false) return undefined;
    const own = stated.rate({ id: name, bornAt: incarnation });
    const published = directory.endpoint(name)?.requestLimitPerS;
    if (own === undefined || published === undefined) return own ?? published;
    return Math.min(own, published);
  };
  return { permits, limitOf };
};

/** Creates the components that run the domain's controller or reach it in another daemon. */
const wirePlacement = (options: NodeOptions, domain: DomainParts) => {
  const { clock, random, telemetry } = options;
  const { directory, hosts, holder, membership, peers, state, store, view } = domain;
  let task: ControllerTask | undefined;
  const limits = wireLimits(options, domain, () => task);
  const endpoints = EndpointCache.create(
    LimitedEndpointConnector.create(options.connector, { clock, telemetry, ...limits }),
  );
  const drains = DrainMarks.create(membership, view);
  const { prices, weights } = options;
  const costOf = itemCosts(holder, options);
  const keepWarm = GapHistogram.create({
    idleHourPrice: prices.idleHour,
    coldSecondPrice: prices.coldSecond,
    ...(prices.tailExponent !== undefined && { tailExponent: prices.tailExponent }),
    costOf,
  });
  const fleet = () => ({
    engines: hosts.hosts.filter((host) => isEngine(host) && host.domain === options.domain).length,
    allEngines: hosts.totalEngineCount,
  });
  const createController = (): Controller | undefined => {
    // A successor needs the host's incarnation to detect that this daemon has been replaced.
    const self = hosts.hosts.find(({ name }) => name === options.name);
    if (self === undefined) return undefined;
    const controller: Controller = Controller.create({
      domain: options.domain,
      daemon: { daemon: options.name, incarnation: self.incarnation },
      store,
      clock,
      hosts: options.hostList,
      endpoint: (id) => {
        const host = hosts.hosts.find(({ name }) => name === id) ?? directory.endpoint(id)?.host;
        return host === undefined ? undefined : endpoints.get(host);
      },
      bundle: () => holder.current?.bundle,
      view: directory,
      keepWarm,
      onDrain: (marks) => drains.publish(controller.status().epoch, marks),
      fleet,
      random,
      telemetry,
      settings: {
        loadsPerSecond: weights.loadsPerSecond,
        loadsAtOnce: weights.loadsAtOnce,
        adapterTransits: weights.adapterTransits,
        bytesPerMs: {
          ...defaultPlacementSettings.bytesPerMs,
          remote: weights.bytesPerSecond / 1000,
        },
        ...options.placement,
      },
      ...(options.protections?.placement && { protections: options.protections.placement }),
    });
    return controller;
  };
  const controllers = ControllerTask.create({
    membership,
    state,
    clock,
    create: createController,
  });
  task = controllers;
  const wakes = WakeClient.create({
    peers,
    clock,
    controller: () => controllers.holder(),
    onReady: (item, endpoint) => view.recordReady(item, endpoint, clock.now()),
  });
  const localController = (): Waker | undefined =>
    controllers.controller?.isHolder ? controllers.controller : undefined;
  serveWakes(peers, clock, localController);
  return { endpoints, controllers, wakes, costOf, limitOf: limits.limitOf };
};

/** Creates the components that hold back prompts which crash engines. */
const wireCrashes = (
  options: NodeOptions,
  { membership, peers, summaries, view }: DomainParts,
  endpoints: EndpointCache,
): { readonly crashes: CrashWatch; readonly crashLinks: CrashLinks } => {
  const { clock, random, telemetry } = options;
  const enabled = options.protections?.crashQuarantine !== false;
  const probe = EndpointProbe.create(endpoints, view, clock);
  const facts = CrashFacts.create(membership, clock);
  const crashLinks = CrashLinks.create({
    peers,
    summaries,
    clock,
    random,
    onFact: (fact) => facts.publishRemote(fact),
  });
  facts.onPublish((fact) => crashLinks.publish(fact));
  const crashes = CrashWatch.create({
    clock,
    random,
    telemetry,
    ledger: CrashLedger.create(random),
    probe: (request) => (enabled ? probe.check(request) : Promise.resolve(EngineState.unknown)),
    publishCrash: (report) => facts.publishCrash(report),
    publishCleared: (cleared) => facts.publishCleared(cleared),
    members: () => membership.alive().length,
  });
  facts.subscribe(crashes);
  return { crashes, crashLinks };
};

/** Creates and connects the components of a daemon without starting any of them. */
export const wire = (options: NodeOptions) => {
  const { clock, random, telemetry, queue, name } = options;
  const domain = wireDomain(options);
  const placement = wirePlacement(options, domain);
  const { holder, membership, peers, store, summaries, view } = domain;
  const own = { name: options.domain, region: options.region };
  const prefixes = PrefixIndex.create();
  let admission: AdmissionQueues<Lease> | undefined;
  const balancer = Balancer.create({
    random,
    prefixes,
    settings: { initialSlotShare: () => 1 / Math.max(1, membership.alive().length) },
    onRelease: (_endpoint, now) => admission?.pump(now),
    onEject: (peer, until) => telemetry.log('endpoint ejected', { peer, until }),
  });
  admission = AdmissionQueues.create(acquireLease(view, balancer, placement.limitOf), {
    maxWaiting: queue.capacity,
    maxPerCaller: queue.callerCapacity,
    ...options.protections?.admission,
  });
  const domains = KnownDomains.create({ own, holder, summaries, view, random });
  const incarnation = membership.self.incarnation.toString(36);
  const ledger = ClaimLedger.create({
    store,
    clock,
    random,
    telemetry,
    dispatcher: `${name}#${incarnation}`,
    restores: domain.restores,
    ...(options.protections?.booking && { protections: options.protections.booking }),
    isGone: (dispatcher) => {
      const [host] = dispatcher.split('#');
      const status = membership.member(host)?.status;
      return status === MemberStatus.dead || status === MemberStatus.left;
    },
  });
  const { crashes, crashLinks } = wireCrashes(options, domain, placement.endpoints);
  const answerTimes = AnswerTimes.create();
  const plannedStop = PlannedStop.create(options.stopDurations, answerTimes);
  const entry = CallerEntry.create({
    holder,
    plannedStop,
    answerTimes,
    context: {
      own,
      view,
      domains,
      admission,
      waker: placement.wakes,
      endpoints: placement.endpoints,
      peers,
      clock,
      telemetry,
      budget: RetryBudget.create(),
      prefixes,
      crashes,
      attempts: options.attempts ?? {},
      ledger,
    },
  });
  const admissionAbort = new AbortController();
  return {
    ...domain,
    ...placement,
    admission,
    balancer,
    crashLinks,
    domains,
    ledger,
    plannedStop,
    entry,
    admissionAbort,
  };
};

/** The connected components of a daemon. */
export type Wiring = ReturnType<typeof wire>;
