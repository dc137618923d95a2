import type { EndpointRecord } from '@currantdrift/fleet';
import type { PermitSource } from '@currantdrift/rate-limit';
import type { Reservation } from '@currantdrift/routing';

/** The endpoint that was selected for a request. */
export interface SelectedEndpoint {
  readonly kind: 'selected';
  readonly record: EndpointRecord;
  readonly place: Reservation;
  readonly candidates: number;
  /** Who permitted the request and after which wait, in ms, if the endpoint limits its requests. */
  readonly permit?: { readonly source: PermitSource; readonly waitedMs: number };
}

/** Why no endpoint was selected. */
export interface NoEndpoint {
  readonly kind: 'refused' | 'expired' | 'gone';
  readonly reason: string;
  /** Status of the refusal, if it is not the usual one. */
  readonly status?: number;
  /** Time after which a retry by the client may succeed, in ms. */
  readonly retryAfterMs: number;
}
