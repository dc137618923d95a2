import type { Result } from 'neverthrow';
import type { LimitedEndpoint, PermitRefusal } from './permit';

/** Who has issued a permit. */
export const PermitSource = {
  /** The issuer of the endpoint. */
  issuer: 'issuer',
  /** The member itself, from its own share, because it could not reach the issuer. */
  share: 'share',
} as const;
export type PermitSource = (typeof PermitSource)[keyof typeof PermitSource];

/** Allows this member one call to an endpoint that limits its requests. */
export interface RequestPermit {
  readonly endpoint: string;
  /** Earliest time of the call, in ms on the member's clock. */
  readonly usableAt: number;
  readonly source: PermitSource;
  /** Time after which the call must not be sent. */
  readonly expiresAt: number;
}

/** Permits for calls to endpoints that limit their requests. */
export interface RequestPermits {
  /** Reserves a call at one of the candidates, which must not be empty, within `maxWaitMs`. */
  acquire(
    candidates: readonly LimitedEndpoint[],
    maxWaitMs: number,
  ): Promise<Result<RequestPermit, PermitRefusal>>;
}
