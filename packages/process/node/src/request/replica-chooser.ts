import {
  type Clock,
  type DomainView,
  type EndpointState,
  type Host,
  type Peers,
  type Span,
  type Telemetry,
  type Waker,
  type WakeRefusal,
} from '@currantdrift/core';
import type {
  AdmissionQueues,
  AdmissionRefusal,
  AdmissionRequest,
  Grant,
} from '@currantdrift/admission';
import type { AttemptContext, Reason, Target } from '@currantdrift/attempt';
import {
  type Balancer,
  type DomainCandidate,
  type Lease,
  orderDomains,
} from '@currantdrift/routing';
import { err, ok, type Result } from 'neverthrow';
import type { DomainDirectory } from '../process/domain-directory';
import type { EndpointCache } from '../process/endpoint-cache';
import { DomainEndpoint, domainEndpointId } from './domain-endpoint';
import { RefusalCode } from './refusal';
import type { RequestGuard } from './request-guard';
import type { ChatRequest } from './request';

/** An admission request with the data that the balancer uses to choose an endpoint. */
export interface RoutedAdmissionRequest extends AdmissionRequest {
  readonly tried: readonly string[];
  readonly prefixes: readonly string[];
  /** Software version of the engines that may go on with a stream; undefined for a new one. */
  readonly softwareVersion?: string;
}

/** Components of the daemon that are used to choose an endpoint. */
export interface RoutingContext {
  readonly own: { readonly name: string; readonly region: string };
  readonly view: DomainView;
  readonly domains: DomainDirectory;
  readonly admission: AdmissionQueues<Lease>;
  readonly waker: Waker;
  readonly endpoints: EndpointCache;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
}

/** Candidates that have not been tried yet, or all candidates if each has been tried. */
export const untried = (
  candidates: readonly EndpointState[],
  tried: readonly string[],
): readonly EndpointState[] => {
  const left = candidates.filter(({ host }) => !tried.includes(host.name));
  return left.length > 0 ? left : candidates;
};

/** Endpoints of a software version; all of them if it is undefined. */
const ofVersion = (
  states: readonly EndpointState[],
  softwareVersion: string | undefined,
): readonly EndpointState[] =>
  softwareVersion === undefined
    ? states
    : states.filter((state) => state.softwareVersion === softwareVersion);

/**
 * Acquires a lease on an endpoint for the request at the head of the queue `key`: an item's key or
 * `pool:name`.
 */
export const acquireLease =
  (view: DomainView, balancer: Balancer, limitOf: (host: Host) => number | undefined) =>
  (key: string, request: AdmissionRequest, now: number): Lease | undefined => {
    const { tried, prefixes, softwareVersion } = request as RoutedAdmissionRequest;
    const pool = key.startsWith('pool:') ? key.slice('pool:'.length) : undefined;
    const all = ofVersion(
      pool === undefined ? view.replicas(key) : view.pool(pool),
      softwareVersion,
    );
    // Endpoints that limit their requests are used only if no other can serve the request.
    const unlimited = all.filter(({ host }) => limitOf(host) === undefined);
    const candidates = untried(unlimited.length > 0 ? unlimited : all, tried);
    return balancer.acquire({ candidates, item: key, prefixes }, now).unwrapOr(undefined);
  };

const admissionCodes: Readonly<Record<AdmissionRefusal['kind'], RefusalCode>> = {
  invalid: RefusalCode.noCapacity,
  too_late: RefusalCode.deadlineTooShort,
  queue_full: RefusalCode.queueFull,
  caller_full: RefusalCode.queueFull,
  cancelled: RefusalCode.interrupted,
  closed: RefusalCode.stopping,
};

const wakeCodes: Readonly<Record<WakeRefusal['kind'], RefusalCode>> = {
  no_allotment: RefusalCode.noCapacity,
  no_memory: RefusalCode.noCapacity,
  too_late: RefusalCode.deadlineTooShort,
  no_controller: RefusalCode.noCapacity,
  failed: RefusalCode.noEndpoint,
};

/** Delay before endpoints are tried again after all of them refused, in ms. */
const refusedRetryDelayMs = 200;

/** Creates a reason whose step is the error code sent to the caller. */
const reason = (code: RefusalCode, message: string, retryAfterMs?: number): Reason => ({
  step: code,
  peer: 'self',
  message,
  ...(retryAfterMs === undefined || retryAfterMs <= 0 ? {} : { retryAfterMs }),
});

/** Creates the target for a lease that admission granted on an endpoint of this domain. */
export const targetOf = (
  grant: Grant<Lease>,
  state: EndpointState,
  endpoints: EndpointCache,
): Target => ({
  endpoint: endpoints.get(state.host),
  softwareVersion: () => state.softwareVersion,
  lease: {
    observe: (latencyMs, now) => grant.value.observe(latencyMs, now),
    release: (result, now) => {
      grant.value.release(result, now);
      grant.finish(result === 'succeeded', now);
    },
  },
});

/** Waits in the queue of an item or a pool until an endpoint has a free slot. */
export const awaitTarget = async (
  context: Pick<RoutingContext, 'admission' | 'clock' | 'endpoints' | 'view'>,
  key: string,
  request: RoutedAdmissionRequest,
  signal: AbortSignal,
): Promise<Result<Target, Reason>> => {
  const { admission, clock, endpoints, view } = context;
  const ticket = admission.enqueue(key, request, clock.now());
  const leave = () => ticket.cancel(clock.now());
  signal.addEventListener('abort', leave, { once: true });
  const granted = await ticket.result;
  signal.removeEventListener('abort', leave);
  if (granted.isErr()) {
    const { kind, message, retryAfterMs } = granted.error;
    return err(reason(admissionCodes[kind], message, retryAfterMs));
  }
  const state = view.endpoint(granted.value.value.endpoint);
  if (state !== undefined) return ok(targetOf(granted.value, state, endpoints));
  granted.value.value.release('neutral', clock.now());
  granted.value.finish(false, clock.now());
  return err(reason(RefusalCode.noEndpoint, 'the endpoint has left the domain'));
};

/** Watches the send to the target, unless the request has been held back meanwhile. */
export const guardTarget = (
  target: Target,
  guard: RequestGuard,
  now: number,
): Result<Target, Reason> => {
  const heldBack = guard.check(now);
  if (heldBack === undefined) return ok({ ...target, endpoint: guard.watch(target.endpoint) });
  target.lease.release('neutral', now);
  return err(heldBack);
};

/** Chooses the endpoint for each attempt of a chat request. */
export class ReplicaChooser {
  /** Whether the request had to wait for a cold start. */
  neededColdStart = false;

  private constructor(
    private readonly context: RoutingContext,
    private readonly request: ChatRequest,
    private readonly itemKey: string,
    private readonly prefixes: readonly string[],
    private readonly guard: RequestGuard,
    private readonly span: Span,
    /** False for a request that was forwarded to this domain, which must serve or refuse it. */
    private readonly mayForward: boolean,
  ) {}

  static create(
    context: RoutingContext,
    request: ChatRequest,
    itemKey: string,
    prefixes: readonly string[],
    guard: RequestGuard,
    span: Span,
    mayForward: boolean,
  ): ReplicaChooser {
    return new ReplicaChooser(context, request, itemKey, prefixes, guard, span, mayForward);
  }

  /** Returns the next target, from the first domain in order that accepts the request. */
  async choose(
    tried: readonly string[],
    signal: AbortSignal,
    choice: AttemptContext,
  ): Promise<Result<Target, Reason>> {
    const heldBack = this.guard.check(this.context.clock.now());
    if (heldBack !== undefined) return err(heldBack);
    let last = reason(
      RefusalCode.noCapacity,
      `no domain can serve ${this.request.item} now`,
      1_000,
    );
    for (const candidate of this.candidates(tried)) {
      const chosen = await this.chooseInDomain(candidate, tried, signal, choice);
      if (chosen.isOk() || signal.aborted) return chosen;
      last = chosen.error;
    }
    return err(last);
  }

  /** Domains to try, best first. This domain comes last once all its replicas have been tried. */
  private candidates(tried: readonly string[]): readonly DomainCandidate[] {
    const { domains, own } = this.context;
    const ordered = orderDomains(own, domains.domainOptions(this.request.item, this.itemKey));
    const others = ordered.filter(
      ({ domain }) =>
        domain !== own.name && this.mayForward && !tried.includes(domainEndpointId(domain)),
    );
    const local = ordered.filter(({ domain }) => domain === own.name);
    if (this.allReplicasTried(tried)) return [...others, ...local];
    return ordered.filter((candidate) => local.includes(candidate) || others.includes(candidate));
  }

  /** Whether this domain has warm replicas and all of them have been tried. */
  private allReplicasTried(tried: readonly string[]): boolean {
    const replicas = this.context.view.replicas(this.itemKey);
    return replicas.length > 0 && replicas.every(({ host }) => tried.includes(host.name));
  }

  private chooseInDomain(
    { domain }: DomainCandidate,
    tried: readonly string[],
    signal: AbortSignal,
    choice: AttemptContext,
  ): Promise<Result<Target, Reason>> | Result<Target, Reason> {
    return domain === this.context.own.name
      ? this.chooseLocal(tried, signal, choice)
      : this.chooseRemote(domain, choice.softwareVersion);
  }

  private async chooseLocal(
    tried: readonly string[],
    signal: AbortSignal,
    choice: AttemptContext,
  ): Promise<Result<Target, Reason>> {
    if (choice.last === 'refused' && this.allReplicasTried(tried)) {
      await this.context.clock.sleep(refusedRetryDelayMs, signal);
    }
    const { softwareVersion } = choice;
    const replicas = this.context.view.replicas(this.itemKey);
    if (softwareVersion !== undefined && ofVersion(replicas, softwareVersion).length === 0) {
      const message = `no engine of software version ${softwareVersion} can go on with the answer`;
      return err(reason(RefusalCode.noEndpoint, message));
    }
    const woken = await this.wakeIfCold(signal);
    if (woken.isErr()) return err(woken.error);
    const { caller, priority, deadline } = this.request;
    const span = this.context.telemetry.span('queue', this.span.traceparent);
    const target = await awaitTarget(
      this.context,
      this.itemKey,
      {
        caller: caller.name,
        weight: caller.weight,
        priority,
        deadline,
        tried,
        prefixes: this.prefixes,
        softwareVersion,
        isRetry: tried.length > 0,
      },
      signal,
    );
    span.end(target.isOk() ? 'granted' : target.error.step);
    const { guard, context } = this;
    return target.andThen((granted) => guardTarget(granted, guard, context.clock.now()));
  }

  private async wakeIfCold(signal: AbortSignal): Promise<Result<void, Reason>> {
    const { view, waker, telemetry } = this.context;
    if (view.replicas(this.itemKey).length > 0) return ok(undefined);
    this.neededColdStart = true;
    const span = telemetry.span('wake', this.span.traceparent, { item: this.itemKey });
    const woken = await Promise.race([
      waker.wake(this.itemKey, this.request.deadline),
      new Promise<undefined>((resolve) => {
        signal.addEventListener('abort', () => resolve(undefined), { once: true });
      }),
    ]);
    span.end(woken?.isOk() ? 'ready' : 'refused');
    if (woken === undefined) return err(reason(RefusalCode.interrupted, 'the request has ended'));
    return woken
      .map(() => undefined)
      .mapErr(({ kind, message, retryAfterMs }) => reason(wakeCodes[kind], message, retryAfterMs));
  }

  private chooseRemote(
    domain: string,
    softwareVersion: string | undefined,
  ): Result<Target, Reason> {
    const { domains, peers, clock } = this.context;
    const addresses = domains.entryAddresses(domain);
    if (addresses.length === 0) {
      return err(reason(RefusalCode.noEndpoint, `no daemon of ${domain} can be reached`, 2_000));
    }
    const endpoint = DomainEndpoint.create({
      domain,
      addresses,
      peers,
      clock,
      request: this.request,
      softwareVersion,
    });
    return ok({
      endpoint,
      softwareVersion: () => endpoint.softwareVersion,
      lease: { observe: () => {}, release: () => {} },
    });
  }
}
