import { type Clock, type DomainView, type Endpoint, hash32 } from '@currantdrift/core';
import type { Reason } from '@currantdrift/attempt';
import { type CrashWatch, isRequestSubject } from '@currantdrift/quarantine';
import { RefusalCode } from './refusal';
import { WatchedEndpoint } from './watched-endpoint';

export interface RequestGuardOptions {
  readonly clock: Clock;
  readonly crashes: CrashWatch;
  readonly view: DomainView;
  /** Pool of the endpoints that may serve the request. */
  readonly pool: string;
  /** Parts of its prompt; empty for a call of a plain service. */
  readonly promptParts: readonly string[];
  /** Identifies what the caller asks for; the same for repeats of the request. */
  readonly digest: string;
}

/** Identifies a start of an endpoint. */
export const startOf = (bootId: string): number => hash32(bootId);

/** Keeps one request from crashing endpoint after endpoint. */
export class RequestGuard {
  private isSuspected = false;

  private constructor(private readonly options: RequestGuardOptions) {}

  static create(options: RequestGuardOptions): RequestGuard {
    return new RequestGuard(options);
  }

  /** Why the request must not be sent to an endpoint; undefined if it may be. */
  check(now: number): Reason | undefined {
    const { crashes, pool: service, promptParts, digest } = this.options;
    const quarantine = crashes.find({ service, promptParts, digest }, now);
    if (quarantine === undefined && !this.isSuspected) return undefined;
    const isPrompt = quarantine !== undefined && !quarantine.parts.some(isRequestSubject);
    return {
      step: isPrompt ? RefusalCode.promptHeldBack : RefusalCode.requestHeldBack,
      peer: 'self',
      message: isPrompt
        ? 'the prompt contains messages that crash engines'
        : 'the request crashes the endpoints that run it',
      ...(quarantine && { retryAfterMs: quarantine.leftMs }),
    };
  }

  /** The endpoint with a watch over what the request does to it. */
  watch(endpoint: Endpoint): Endpoint {
    const { clock, crashes, view, pool: service, promptParts, digest } = this.options;
    const bornAt = startOf(view.endpoint(endpoint.id)?.bootId ?? '');
    const request = { service, endpoint: endpoint.id, bornAt, promptParts, digest };
    return WatchedEndpoint.create(endpoint, {
      clock,
      begin: (cancel) => crashes.begin(request, cancel),
      onSuspicion: () => {
        this.isSuspected = true;
      },
    });
  }
}
