import {
  type Clock,
  type DomainView,
  type EndpointState,
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
import type { EndpointPool } from '../process/endpoint-pool';
import { DomainEndpoint, domainEndpointId } from './domain-endpoint';
import { RefusalCode } from './refusal';
import type { ChatRequest } from './request';

/** An admission request with what the balancer needs. */
export interface PlacedRequest extends AdmissionRequest {
  readonly tried: readonly string[];
  readonly prefixes: readonly string[];
}

/** What choosing a place needs from the daemon. */
export interface ChoosingContext {
  readonly own: { readonly name: string; readonly region: string };
  readonly view: DomainView;
  readonly domains: DomainDirectory;
  readonly admission: AdmissionQueues<Lease>;
  readonly waker: Waker;
  readonly endpoints: EndpointPool;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
}

/** Endpoints of `candidates` that were not tried; all of them if each was. */
export const untried = (
  candidates: readonly EndpointState[],
  tried: readonly string[],
): readonly EndpointState[] => {
  const left = candidates.filter(({ host }) => !tried.includes(host.name));
  return left.length > 0 ? left : candidates;
};

/** Takes a place for the head of the queue of an item (`key`) or a pool (`pool:name`). */
export const takePlace =
  (view: DomainView, balancer: Balancer) =>
  (key: string, request: AdmissionRequest, now: number): Lease | undefined => {
    const { tried, prefixes } = request as PlacedRequest;
    const pool = key.startsWith('pool:') ? key.slice('pool:'.length) : undefined;
    const all = pool === undefined ? view.replicas(key) : view.pool(pool);
    const candidates = untried(all, tried);
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

/** Pause before endpoints that have all refused are tried again, in ms. */
const refusedPauseMs = 200;

/** A reason whose step is the code that the caller sees. */
const reason = (code: RefusalCode, message: string, retryAfterMs?: number): Reason => ({
  step: code,
  peer: 'self',
  message,
  ...(retryAfterMs === undefined || retryAfterMs <= 0 ? {} : { retryAfterMs }),
});

/** Target for a granted place at an endpoint of this domain. */
export const targetOf = (
  grant: Grant<Lease>,
  state: EndpointState,
  endpoints: EndpointPool,
): Target => ({
  endpoint: endpoints.get(state.host),
  lease: {
    observe: (latencyMs, now) => grant.value.observe(latencyMs, now),
    release: (result, now) => {
      grant.value.release(result, now);
      grant.finish(result === 'succeeded', now);
    },
  },
});

/** Waits in the queue of an item or a pool for a place at an endpoint. */
export const awaitPlace = async (
  context: Pick<ChoosingContext, 'admission' | 'clock' | 'endpoints' | 'view'>,
  key: string,
  request: PlacedRequest,
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
  return err(reason(RefusalCode.noEndpoint, 'the endpoint has left'));
};

/** Chooses the places at which one chat request is tried. */
export class ReplicaChooser {
  /** A cold start was part of the request. */
  cold = false;

  private constructor(
    private readonly context: ChoosingContext,
    private readonly request: ChatRequest,
    private readonly itemKey: string,
    private readonly prefixes: readonly string[],
    private readonly span: Span,
    /** False for a forwarded request, which is served in this domain or refused. */
    private readonly mayForward: boolean,
  ) {}

  static create(
    context: ChoosingContext,
    request: ChatRequest,
    itemKey: string,
    prefixes: readonly string[],
    span: Span,
    mayForward: boolean,
  ): ReplicaChooser {
    return new ReplicaChooser(context, request, itemKey, prefixes, span, mayForward);
  }

  /** Gives the next place; tries the domains in order until one takes the request. */
  async choose(
    tried: readonly string[],
    signal: AbortSignal,
    choice: AttemptContext,
  ): Promise<Result<Target, Reason>> {
    let last = reason(
      RefusalCode.noCapacity,
      `no domain can serve ${this.request.item} now`,
      1_000,
    );
    for (const candidate of this.candidates(tried)) {
      const chosen = await this.try(candidate, tried, signal, choice);
      if (chosen.isOk() || signal.aborted) return chosen;
      last = chosen.error;
    }
    return err(last);
  }

  /** Domains to try, best first. The own one comes last once all its replicas were tried. */
  private candidates(tried: readonly string[]): readonly DomainCandidate[] {
    const { domains, own } = this.context;
    const ordered = orderDomains(own, domains.options(this.request.item, this.itemKey));
    const others = ordered.filter(
      ({ domain }) =>
        domain !== own.name && this.mayForward && !tried.includes(domainEndpointId(domain)),
    );
    const here = ordered.filter(({ domain }) => domain === own.name);
    if (this.isExhausted(tried)) return [...others, ...here];
    return ordered.filter((candidate) => here.includes(candidate) || others.includes(candidate));
  }

  /** All warm replicas of this domain were tried. */
  private isExhausted(tried: readonly string[]): boolean {
    const replicas = this.context.view.replicas(this.itemKey);
    return replicas.length > 0 && replicas.every(({ host }) => tried.includes(host.name));
  }

  private try(
    { domain }: DomainCandidate,
    tried: readonly string[],
    signal: AbortSignal,
    choice: AttemptContext,
  ): Promise<Result<Target, Reason>> | Result<Target, Reason> {
    return domain === this.context.own.name ? this.here(tried, signal, choice) : this.there(domain);
  }

  private async here(
    tried: readonly string[],
    signal: AbortSignal,
    choice: AttemptContext,
  ): Promise<Result<Target, Reason>> {
    if (choice.last === 'refused' && this.isExhausted(tried)) {
      await this.context.clock.sleep(refusedPauseMs, signal);
    }
    const woken = await this.wakeIfCold(signal);
    if (woken.isErr()) return err(woken.error);
    const { caller, priority, deadline } = this.request;
    const span = this.context.telemetry.span('queue', this.span.traceparent);
    const place = await awaitPlace(
      this.context,
      this.itemKey,
      {
        caller: caller.name,
        weight: caller.weight,
        priority,
        deadline,
        tried,
        prefixes: this.prefixes,
        isRetry: tried.length > 0,
      },
      signal,
    );
    span.end(place.isOk() ? 'granted' : place.error.step);
    return place;
  }

  private async wakeIfCold(signal: AbortSignal): Promise<Result<void, Reason>> {
    const { view, waker, telemetry } = this.context;
    if (view.replicas(this.itemKey).length > 0) return ok(undefined);
    this.cold = true;
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

  private there(domain: string): Result<Target, Reason> {
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
    });
    return ok({ endpoint, lease: { observe: () => {}, release: () => {} } });
  }
}
