import { type Clock, type DomainView, type Endpoint, hash32 } from '@currantdrift/core';
import type { Reason } from '@currantdrift/attempt';
import type { CrashWatch } from '@currantdrift/quarantine';
import { RefusalCode } from './refusal';
import { WatchedEndpoint } from './watched-endpoint';

export interface PromptGuardOptions {
  readonly clock: Clock;
  readonly crashes: CrashWatch;
  readonly view: DomainView;
  /** Pool of the engines that may serve the request. */
  readonly pool: string;
  readonly promptParts: readonly string[];
}

/** Identifies a start of an engine. */
export const startOf = (bootId: string): number => hash32(bootId);

/** Keeps the prompt of one chat request from crashing engine after engine. */
export class PromptGuard {
  private isSuspected = false;

  private constructor(private readonly options: PromptGuardOptions) {}

  static create(options: PromptGuardOptions): PromptGuard {
    return new PromptGuard(options);
  }

  /** Why the request must not be sent to an engine; undefined if it may be. */
  check(now: number): Reason | undefined {
    const { crashes, pool, promptParts } = this.options;
    const quarantine = crashes.find(pool, promptParts, now);
    if (quarantine === undefined && !this.isSuspected) return undefined;
    return {
      step: RefusalCode.promptHeldBack,
      peer: 'self',
      message: 'the prompt contains messages that crash engines',
      ...(quarantine && { retryAfterMs: quarantine.leftMs }),
    };
  }

  /** The endpoint with a watch over what the request does to it. */
  watch(endpoint: Endpoint): Endpoint {
    const { clock, crashes, view, pool, promptParts } = this.options;
    const bornAt = startOf(view.endpoint(endpoint.id)?.bootId ?? '');
    const request = { service: pool, endpoint: endpoint.id, bornAt, promptParts };
    return WatchedEndpoint.create(endpoint, {
      clock,
      begin: (cancel) => crashes.begin(request, cancel),
      onSuspicion: () => {
        this.isSuspected = true;
      },
    });
  }
}
