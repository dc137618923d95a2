import type { Clock, Peers } from '@currantdrift/core';
import type { EndpointLimits, LimitReport } from '@currantdrift/fleet';
import {
  type IssuerClient,
  type LimitedEndpoint,
  type PermitDecision,
  type RateLimitSettings,
  TermIssuer,
} from '@currantdrift/rate-limit';
import {
  parseMessage,
  PeerMessageKind,
  type PermitRequestMessage,
  type PermitResponse,
  permitResponseSchema,
} from '../connection/peer-messages';
import type { Member, Members } from '../version/members';
import type { Term } from './controller-election';

/** Timeout for the controller's response, in ms. */
const responseTimeoutMs = 400;

export interface PermitServiceOptions {
  readonly clock: Clock;
  readonly peers: Peers;
  readonly self: Member;
  readonly members: Members;
  readonly limits: EndpointLimits;
  readonly settings: RateLimitSettings;
  /** Receives the request limits that a member reports. */
  readonly onLimits: (limits: readonly LimitReport[], source: string) => void;
  /** Whether this process is certain to be the controller. */
  readonly mayIssue: () => boolean;
}

/**
 * Permits for calls to endpoints that limit their requests. The controller issues them for all members;
 * its lease in the store ensures that no two processes do so at once.
 */
export class PermitService implements IssuerClient {
  private readonly issuer: TermIssuer;

  /** Fencing token of this process's term as the controller. */
  private ownTerm: number | undefined;

  private constructor(private readonly options: PermitServiceOptions) {
    this.issuer = TermIssuer.create(options.settings);
  }

  static create(options: PermitServiceOptions): PermitService {
    return new PermitService(options);
  }

  /** Begins this process's term as the controller. */
  beginTerm({ fence, isFirst }: Pick<Term, 'fence' | 'isFirst'>): void {
    this.ownTerm = fence;
    this.issuer.begin(fence, isFirst, this.options.clock.now());
  }

  endTerm(): void {
    this.ownTerm = undefined;
  }

  async ask(
    candidates: readonly LimitedEndpoint[],
    maxWaitMs: number,
  ): Promise<PermitDecision | undefined> {
    if (this.ownTerm !== undefined) return this.decide(candidates, maxWaitMs);
    const { peers, members, self } = this.options;
    const { controller } = members;
    if (controller === undefined || controller.host === self.host) return undefined;
    const message = {
      kind: PeerMessageKind.permit,
      limits: this.reportsOf(candidates),
      maxWaitMs,
    };
    const response = await peers.request(controller.address, message, responseTimeoutMs);
    const parsed = response.isOk() ? parseMessage(permitResponseSchema, response.value) : undefined;
    return parsed === undefined || parsed.kind === 'elsewhere' ? undefined : parsed;
  }

  /** Answers another member's request for a permit. */
  respond({ limits, maxWaitMs }: PermitRequestMessage, from: string): PermitResponse {
    this.options.onLimits(limits, from);
    const candidates = limits.flatMap(({ endpoint, bornAt, ratePerS }) =>
      ratePerS === null ? [] : [{ endpoint, bornAt, ratePerS }],
    );
    return this.decide(candidates, maxWaitMs) ?? { kind: 'elsewhere' };
  }

  /** Decides as the controller; undefined if this process is not certain to be it. */
  private decide(
    candidates: readonly LimitedEndpoint[],
    maxWaitMs: number,
  ): PermitDecision | undefined {
    const { clock, limits, mayIssue } = this.options;
    const now = clock.now();
    if (this.ownTerm === undefined || !mayIssue() || candidates.length === 0) return undefined;
    const current = candidates.map((candidate) => {
      const { endpoint: id, bornAt, ratePerS } = candidate;
      return { ...candidate, ratePerS: limits.rate({ id, bornAt }) ?? ratePerS };
    });
    return this.issuer.decide(this.ownTerm, current, maxWaitMs, now);
  }

  /** What this process knows of the limits, so that the controller learns of them with the request. */
  private reportsOf(candidates: readonly LimitedEndpoint[]): LimitReport[] {
    const { clock, limits } = this.options;
    const known = limits.reports(clock.now());
    return candidates.flatMap(
      ({ endpoint }) => known.find((one) => one.endpoint === endpoint) ?? [],
    );
  }
}
