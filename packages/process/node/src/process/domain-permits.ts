import type { Clock, Peers } from '@currantdrift/core';
import {
  type IssuerClient,
  type LimitedEndpoint,
  type PermitDecision,
  permitDecisionSchema,
  type RateLimitSettings,
  TermIssuer,
} from '@currantdrift/rate-limit';
import { z } from 'zod';

/** Kind of the peer message that asks the domain controller for a permit. */
const permitKind = 'placement.permit';

/** Timeout for the controller's response, in ms. */
const responseTimeoutMs = 400;

const permitRequestSchema = z.object({
  kind: z.literal(permitKind),
  candidates: z
    .array(
      z.object({ endpoint: z.string(), bornAt: z.number(), ratePerS: z.number().nonnegative() }),
    )
    .min(1),
  /** Time for which the call can wait, in ms. */
  maxWaitMs: z.number(),
});

export interface DomainPermitsOptions {
  readonly clock: Clock;
  readonly peers: Peers;
  readonly settings: RateLimitSettings;
  /** Epoch of this process's term as the domain controller; undefined unless it is alone in that. */
  readonly ownEpoch: (now: number) => number | undefined;
  /** Peer address of the domain controller in another process; undefined if unknown. */
  readonly controllerAddress: () => string | undefined;
}

/**
 * Permits for calls to the endpoints of a domain that limit their requests. The domain controller issues
 * them while its lease is confirmed, so that no two processes do so at once.
 */
export class DomainPermits implements IssuerClient {
  private readonly issuer: TermIssuer;

  private constructor(private readonly options: DomainPermitsOptions) {
    this.issuer = TermIssuer.create(options.settings);
  }

  static create(options: DomainPermitsOptions): DomainPermits {
    const permits = new DomainPermits(options);
    options.peers.onRequest(permitKind, (message) => {
      const request = permitRequestSchema.safeParse(message);
      const decision = request.success
        ? permits.decide(request.data.candidates, request.data.maxWaitMs)
        : undefined;
      return decision === undefined ? { kind: 'elsewhere' } : { ...decision };
    });
    return permits;
  }

  async ask(
    candidates: readonly LimitedEndpoint[],
    maxWaitMs: number,
  ): Promise<PermitDecision | undefined> {
    const { clock, peers, ownEpoch, controllerAddress } = this.options;
    if (ownEpoch(clock.now()) !== undefined) return this.decide(candidates, maxWaitMs);
    const address = controllerAddress();
    if (address === undefined) return undefined;
    const message = { kind: permitKind, candidates: [...candidates], maxWaitMs };
    const response = await peers.request(address, message, responseTimeoutMs);
    const decision = response.isOk() ? permitDecisionSchema.safeParse(response.value) : undefined;
    return decision?.success === true ? decision.data : undefined;
  }

  /** Decides as the domain controller; undefined if this process is not certain to be it. */
  private decide(
    candidates: readonly LimitedEndpoint[],
    maxWaitMs: number,
  ): PermitDecision | undefined {
    const { clock, ownEpoch } = this.options;
    const now = clock.now();
    const epoch = ownEpoch(now);
    return epoch === undefined ? undefined : this.issuer.decide(epoch, candidates, maxWaitMs, now);
  }
}
